//! The endpoints of the operators' API.

use std::net::SocketAddr;

use crossbeam_channel::Sender;
use dropshot::{
    ApiDescription, ConfigDropshot, HttpError, HttpResponseOk, HttpServer, Path, Query,
    RequestContext, ServerBuilder, TypedBody, endpoint,
};
use pond_log::Logger;
use pond_process::Error;
use pond_proto::operator::{
    Accepted, ApplyOrder, Audit, CancelOrder, DrainOrder, EvacuateOrder, EvacuationRow, LabelOrder,
    Origin, QuotaOrder, Status, TaskRow, UnitDetails, UnitRow, VmRow,
};
use pond_state::{Order, Target};
use schemars::JsonSchema;
use serde::Deserialize;

use crate::input::Input;
use crate::operator::Tokens;
use crate::operator::client::Client;
use crate::operator::show;

/// Maximum size of an order, in bytes.
const MAX_ORDER_BYTES: usize = 4 << 20;

/// Default number of audit records in an answer.
const DEFAULT_AUDIT_RECORDS: usize = 50;

/// The context that all endpoints share.
pub struct Api {
    client: Client,
    tokens: Tokens,
}

type Context = RequestContext<Api>;

impl Api {
    /// Creates an API that sends its requests to `input_sender`.
    pub fn new(input_sender: Sender<Input>, tokens: Tokens) -> Api {
        Api { client: Client::new(input_sender), tokens }
    }
}

/// Returns the origin of an order, with the token's owner as its author if tokens are in use.
fn origin(context: &Context, origin: Origin) -> Result<Origin, HttpError> {
    let owner = authorize(context)?;
    Ok(Origin { who: owner.unwrap_or(origin.who), ..origin })
}

fn authorize(context: &Context) -> Result<Option<String>, HttpError> {
    let headers = context.request.headers();
    let header = headers.get("authorization").and_then(|value| value.to_str().ok());
    context.context().tokens.owner(header).map_err(|()| {
        HttpError::for_client_error(
            Some("unauthorized".to_owned()),
            dropshot::ClientErrorStatusCode::UNAUTHORIZED,
            "show a token of the operator_tokens file as 'Authorization: Bearer TOKEN'".to_owned(),
        )
    })
}

async fn order(
    context: Context,
    from: Origin,
    order: Order,
) -> Result<HttpResponseOk<Accepted>, HttpError> {
    let from = origin(&context, from)?;
    if from.who.is_empty() || from.request.is_empty() {
        let message = "origin.who and origin.request must not be empty".to_owned();
        return Err(HttpError::for_bad_request(Some("origin".to_owned()), message));
    }
    context.context().client.order(from, order).await.map(HttpResponseOk)
}

/// Create units, or replace those of the same names.
#[endpoint { method = POST, path = "/v1/units" }]
async fn apply_units(
    context: Context,
    body: TypedBody<ApplyOrder>,
) -> Result<HttpResponseOk<Accepted>, HttpError> {
    let ApplyOrder { origin, units } = body.into_inner();
    order(context, origin, Order::Apply { units }).await
}

/// Set and remove labels on VMs or units.
#[endpoint { method = POST, path = "/v1/labels" }]
async fn set_labels(
    context: Context,
    body: TypedBody<LabelOrder>,
) -> Result<HttpResponseOk<Accepted>, HttpError> {
    let LabelOrder { origin, vms, selector, set, unset } = body.into_inner();
    let target = if vms { Target::Vms } else { Target::Units };
    order(context, origin, Order::Label { target, selector, set, unset }).await
}

/// Take VMs out of use, or back into it.
#[endpoint { method = POST, path = "/v1/drains" }]
async fn drain_vms(
    context: Context,
    body: TypedBody<DrainOrder>,
) -> Result<HttpResponseOk<Accepted>, HttpError> {
    let DrainOrder { origin, selector, drained } = body.into_inner();
    order(context, origin, Order::Drain { selector, drained }).await
}

/// Place nothing more in a data centre, or use it again.
#[endpoint { method = POST, path = "/v1/evacuations" }]
async fn evacuate_data_centre(
    context: Context,
    body: TypedBody<EvacuateOrder>,
) -> Result<HttpResponseOk<Accepted>, HttpError> {
    let EvacuateOrder { origin, data_centre, evacuated } = body.into_inner();
    order(context, origin, Order::Evacuate { data_centre, evacuated }).await
}

/// All evacuated data centres.
#[endpoint { method = GET, path = "/v1/evacuations" }]
async fn list_evacuations(
    context: Context,
) -> Result<HttpResponseOk<Vec<EvacuationRow>>, HttpError> {
    authorize(&context)?;
    context.context().client.read(show::evacuation_rows).await.map(HttpResponseOk)
}

/// Cancel units by name or by label.
#[endpoint { method = POST, path = "/v1/cancellations" }]
async fn cancel_units(
    context: Context,
    body: TypedBody<CancelOrder>,
) -> Result<HttpResponseOk<Accepted>, HttpError> {
    let CancelOrder { origin, names, selector } = body.into_inner();
    order(context, origin, Order::Cancel { names, selector }).await
}

/// Limit what teams may have running.
#[endpoint { method = POST, path = "/v1/quotas" }]
async fn set_quotas(
    context: Context,
    body: TypedBody<QuotaOrder>,
) -> Result<HttpResponseOk<Accepted>, HttpError> {
    let QuotaOrder { origin, teams } = body.into_inner();
    order(context, origin, Order::Quota { teams }).await
}

/// All units.
#[endpoint { method = GET, path = "/v1/units" }]
async fn list_units(context: Context) -> Result<HttpResponseOk<Vec<UnitRow>>, HttpError> {
    authorize(&context)?;
    let read_state = |state: &pond_state::State| {
        state.units().map(|record| show::unit_row(state, record)).collect()
    };
    context.context().client.read(read_state).await.map(HttpResponseOk)
}

/// The name of a unit in a path.
#[derive(Deserialize, JsonSchema)]
struct UnitPath {
    /// The unit's name.
    name: String,
}

/// One unit with its tasks and the last decisions on it.
#[endpoint { method = GET, path = "/v1/units/{name}" }]
async fn show_unit(
    context: Context,
    path: Path<UnitPath>,
) -> Result<HttpResponseOk<UnitDetails>, HttpError> {
    authorize(&context)?;
    let name = path.into_inner().name;
    let wanted = name.clone();
    let unit =
        context.context().client.read(move |state| show::unit_details(state, &wanted)).await?;
    let missing = || {
        let message = format!("there is no unit {name}");
        let code = dropshot::ClientErrorStatusCode::NOT_FOUND;
        HttpError::for_client_error(Some("no-unit".to_owned()), code, message)
    };
    unit.map(HttpResponseOk).ok_or_else(missing)
}

/// All VMs.
#[endpoint { method = GET, path = "/v1/vms" }]
async fn list_vms(context: Context) -> Result<HttpResponseOk<Vec<VmRow>>, HttpError> {
    authorize(&context)?;
    let read_state =
        |state: &pond_state::State| state.vms().map(|record| show::vm_row(state, record)).collect();
    context.context().client.read(read_state).await.map(HttpResponseOk)
}

/// All tasks.
#[endpoint { method = GET, path = "/v1/tasks" }]
async fn list_tasks(context: Context) -> Result<HttpResponseOk<Vec<TaskRow>>, HttpError> {
    authorize(&context)?;
    let read_state =
        |state: &pond_state::State| state.tasks().map(|task| show::task_row(state, task)).collect();
    context.context().client.read(read_state).await.map(HttpResponseOk)
}

/// The status of this replica.
#[endpoint { method = GET, path = "/v1/status" }]
async fn show_status(context: Context) -> Result<HttpResponseOk<Status>, HttpError> {
    authorize(&context)?;
    context.context().client.status().await.map(HttpResponseOk)
}

/// Number of requested records.
#[derive(Deserialize, JsonSchema)]
struct AuditQuery {
    /// The newest so many; 50 if it is missing.
    count: Option<u32>,
}

/// The newest records of the audit trail, oldest first.
#[endpoint { method = GET, path = "/v1/audit" }]
async fn show_audit(
    context: Context,
    query: Query<AuditQuery>,
) -> Result<HttpResponseOk<Audit>, HttpError> {
    authorize(&context)?;
    let count = query.into_inner().count.map_or(DEFAULT_AUDIT_RECORDS, |count| count as usize);
    let read_state = move |state: &pond_state::State| Audit {
        records: state.trail().newest(count).cloned().collect(),
    };
    context.context().client.read(read_state).await.map(HttpResponseOk)
}

fn describe() -> Result<ApiDescription<Api>, Error> {
    let mut api = ApiDescription::new();
    let failed = |error: dropshot::ApiDescriptionRegisterError| Error::Operator {
        reason: error.to_string(),
    };
    api.register(apply_units).map_err(failed)?;
    api.register(set_labels).map_err(failed)?;
    api.register(drain_vms).map_err(failed)?;
    api.register(evacuate_data_centre).map_err(failed)?;
    api.register(list_evacuations).map_err(failed)?;
    api.register(cancel_units).map_err(failed)?;
    api.register(set_quotas).map_err(failed)?;
    api.register(list_units).map_err(failed)?;
    api.register(show_unit).map_err(failed)?;
    api.register(list_vms).map_err(failed)?;
    api.register(list_tasks).map_err(failed)?;
    api.register(show_status).map_err(failed)?;
    api.register(show_audit).map_err(failed)?;
    Ok(api)
}

/// Returns the OpenAPI document of the operators' API, in JSON.
///
/// # Errors
/// [`Error::Operator`] if the endpoints conflict or the document cannot be written.
pub fn openapi() -> Result<String, Error> {
    let mut bytes = Vec::new();
    let version = "1.0.0".parse().map_err(|_| Error::Operator { reason: "version".to_owned() })?;
    describe()?
        .openapi("pondbay operators", version)
        .write(&mut bytes)
        .map_err(|error| Error::Operator { reason: error.to_string() })?;
    String::from_utf8(bytes).map_err(|error| Error::Operator { reason: error.to_string() })
}

/// Starts the server, which runs until it is closed.
///
/// # Errors
/// [`Error::Operator`] if it cannot listen.
pub fn start(address: SocketAddr, api: Api, log: &Logger) -> Result<HttpServer<Api>, Error> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MAX_ORDER_BYTES,
        ..ConfigDropshot::default()
    };
    // The library logs every request; only its warnings are useful here.
    let drain = slog::LevelFilter::new(log.clone(), slog::Level::Warning);
    let discard_log = slog::Logger::root(slog::Fuse::new(drain), slog::o!());
    ServerBuilder::new(describe()?, api, discard_log)
        .config(config)
        .start()
        .map_err(|error| Error::Operator { reason: error.to_string() })
}
