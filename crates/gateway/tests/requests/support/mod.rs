//! A gateway over scripted endpoints, and a caller that sees every byte.

mod caller;
mod script_endpoint;
mod test_gateway;

pub(crate) use self::{
    caller::{
        Reply,
        ask,
        exchange,
        send, //
    },
    script_endpoint::{
        Act,
        ScriptEndpoint, //
    },
    test_gateway::{
        GatewayBuilder,
        TestGateway,
        eventually,
        until_answered, //
    },
};
