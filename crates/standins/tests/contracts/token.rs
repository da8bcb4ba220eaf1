//! Access tokens of the platform's services.

use jasminebend_ports::{
    AccessToken,
    HttpObjectStore,
    HttpTableService,
    HttpVmList,
    ObjectError,
    ObjectStore,
    TableError,
    TableService,
    VmList,
    WriteId, //
};
use jasminebend_standins::{
    ObjectStandIn,
    TableStandIn,
    VmListStandIn, //
};

#[tokio::test]
async fn a_wrong_token_is_refused_and_a_replaced_one_accepted() {
    let table = TableStandIn::new().with_token(AccessToken::new("right"));
    let (address, _guard) = table.start().await.unwrap();
    let open = HttpTableService::new(address);
    assert_eq!(open.read(&"a".into()).await, Err(TableError::Refused));
    let token = AccessToken::new("wrong");
    let client = HttpTableService::new(address).with_token(token.clone());
    let refused = client.commit(WriteId(1), Vec::new()).await;
    assert_eq!(refused, Err(TableError::Refused));
    token.replace("right");
    assert_eq!(client.read(&"a".into()).await, Ok(None));
}

#[tokio::test]
async fn every_service_requires_its_token() {
    let token = AccessToken::new("right");
    let objects = ObjectStandIn::new().with_token(token.clone());
    let (address, _objects) = objects.start().await.unwrap();
    let refused = HttpObjectStore::new(address).get(&"a".into()).await;
    assert_eq!(refused, Err(ObjectError::Refused));
    let list = VmListStandIn::new(Vec::new()).with_token(token.clone());
    let (address, _list) = list.start().await.unwrap();
    assert!(HttpVmList::new(address).read().await.is_err());
    let client = HttpVmList::new(address).with_token(token);
    assert!(client.read().await.is_ok());
}

#[test]
fn a_token_is_never_printed() {
    let token = AccessToken::new("secret");
    let client = HttpTableService::new(([127, 0, 0, 1], 1).into()).with_token(token.clone());
    assert!(!format!("{token:?} {client:?}").contains("secret"));
}
