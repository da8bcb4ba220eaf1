//! Test support: a gateway with scripted endpoints, and a caller that sends raw bytes.

mod caller;
mod scripted_endpoint;
mod test_gateway;

pub(crate) use self::{
    caller::{
        Reply,
        open_and_send, //
        send_raw,
        send_request,
    },
    scripted_endpoint::{
        EndpointAction,
        ScriptedEndpoint, //
    },
    test_gateway::{
        GatewayBuilder,
        TestGateway,
        wait_until,
        wait_until_answered, //
    },
};
