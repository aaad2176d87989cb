//! HTTP interface for operators: the table, and the status of the control hosts.

use std::sync::Arc;
use std::time::Duration;

use ntex::http::{HeaderMap, StatusCode};
use ntex::web::{self, HttpRequest, HttpResponse, types};
use serde_json::{Value, json};

use crate::consensus::state::{Command, Reply};
use crate::entry::caller::{CallerError, bearer, read_body};
use crate::entry::shell::EntryShared;
use crate::ids::{EditId, PartnerName, Position, RowId};
use crate::process::wire::{RowStatus, TableStatus};
use crate::process::{auth, member, peers};
use crate::table::rows::{EditRefusal, RowChange, RowEdit, RowFields};

/// Timeout of an edit or a read of the table.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a status call to one control host.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

type Entry = types::State<Arc<EntryShared>>;

/// Adds the operators' routes.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/v1/table", web::get().to(read))
        .route("/v1/status", web::get().to(status))
        .route("/v1/table/rows/{id}", web::put().to(put))
        .route("/v1/table/rows/{id}", web::delete().to(delete));
}

fn authorize(entry: &EntryShared, headers: &HeaderMap) -> Result<PartnerName, CallerError> {
    let partner = bearer(headers).and_then(|key| auth::operator(&entry.settings, key));
    partner.cloned().ok_or_else(|| {
        let message = "an operator's key is needed as 'Authorization: Bearer KEY'";
        let field = Some("authorization");
        CallerError::new(StatusCode::UNAUTHORIZED, "invalid_key", field, message)
    })
}

async fn read(entry: Entry, request: HttpRequest) -> HttpResponse {
    if let Err(error) = authorize(&entry, request.headers()) {
        return error.response();
    }
    let table = entry
        .link
        .call_leader("table", CONTROL_TIMEOUT, |client, context| async move {
            client.table(context).await
        })
        .await;
    let accept = request.headers().get("accept");
    let csv = accept.and_then(|value| value.to_str().ok()) == Some("text/csv");
    match table {
        Ok(table) if csv => HttpResponse::Ok()
            .content_type("text/csv")
            .body(csv_text(&table)),
        Ok(table) => HttpResponse::Ok().json(&json_table(&table)),
        Err(error) => unavailable(&error.to_string()),
    }
}

/// Returns the status of each control host, or the error of the call to it.
async fn status(entry: Entry, request: HttpRequest) -> HttpResponse {
    if let Err(error) = authorize(&entry, request.headers()) {
        return error.response();
    }
    let requests = (0..entry.link.len()).map(|number| {
        let request = entry.link.call_any(number, "status", |client| async move {
            client.status(peers::within(STATUS_TIMEOUT)).await
        });
        async move {
            match request.await {
                Ok(status) => json!(status),
                Err(error) => json!({ "error": error.to_string() }),
            }
        }
    });
    let control = futures::future::join_all(requests).await;
    HttpResponse::Ok().json(&json!({
        "control": control,
        "entry": { "position": entry.follower.position(), "stale": entry.is_stale() },
    }))
}

async fn put(
    entry: Entry,
    request: HttpRequest,
    id: types::Path<String>,
    payload: types::Payload,
) -> HttpResponse {
    let body = match read_body(&entry, payload).await {
        Ok(body) => body,
        Err(error) => return error.response(),
    };
    let mut reader = serde_json::Deserializer::from_slice(&body);
    let fields: Result<RowFields, _> = serde_path_to_error::deserialize(&mut reader);
    match fields {
        Ok(fields) => edit(&entry, &request, &id, RowChange::Put(fields)).await,
        Err(error) => {
            let message = format!("row {}, field {}: {}", *id, error.path(), error.inner());
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            CallerError::new(status, "invalid_row", None, message).response()
        }
    }
}

async fn delete(entry: Entry, request: HttpRequest, id: types::Path<String>) -> HttpResponse {
    edit(&entry, &request, &id, RowChange::Delete).await
}

async fn edit(entry: &Entry, request: &HttpRequest, id: &str, change: RowChange) -> HttpResponse {
    let headers = request.headers();
    let prepared = authorize(entry, headers).and_then(|partner| {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let key = text("idempotency-key").filter(|key| !key.is_empty());
        let key =
            key.ok_or_else(|| missing("idempotency-key", "an edit needs a key of its own"))?;
        let version = text("if-match").map(|value| value.trim_matches('"'));
        let version = version.and_then(|value| value.parse().ok());
        let version = version
            .ok_or_else(|| missing("if-match", "the row's version is needed, 0 for a new row"))?;
        Ok(RowEdit {
            id: EditId::from(key),
            partner,
            row: RowId::from(id),
            expected: Position(version),
            change,
        })
    });
    let edit = match prepared {
        Ok(edit) => edit,
        Err(error) => return error.response(),
    };
    let row = edit.row.clone();
    tracing::info!(edit = %edit.id, partner = %edit.partner, %row, "table edit submitted");
    let reply = member::propose(&entry.link, "edit", CONTROL_TIMEOUT, Command::Edit(edit)).await;
    match reply {
        Ok(Reply::Edit(Ok(version))) => HttpResponse::Ok()
            .header("etag", format!("\"{version}\""))
            .json(&json!({ "row": row, "version": version })),
        Ok(Reply::Edit(Err(refusal))) => edit_error(&row, &refusal),
        Ok(_) => unavailable("control gave no answer to an edit"),
        Err(error) => unavailable(&error.to_string()),
    }
}

fn missing(field: &'static str, message: &str) -> CallerError {
    let status = StatusCode::BAD_REQUEST;
    CallerError::new(status, "invalid_request", Some(field), message)
}

fn unavailable(reason: &str) -> HttpResponse {
    let message = format!("no quorum answered; the same edit may be sent again: {reason}");
    let error = json!({ "message": message, "type": "no_quorum", "code": "no_quorum" });
    HttpResponse::ServiceUnavailable()
        .header("retry-after", "1")
        .json(&json!({ "error": error }))
}

fn edit_error(row: &RowId, refusal: &EditRefusal) -> HttpResponse {
    let (status, code, message, current) = match refusal {
        EditRefusal::NotOwner { owner } => (
            StatusCode::FORBIDDEN,
            "not_owner",
            format!("row {row} belongs to {owner}"),
            Value::Null,
        ),
        EditRefusal::Conflict { current } => (
            StatusCode::PRECONDITION_FAILED,
            "conflict",
            format!("row {row} has changed since it was read"),
            json!(current),
        ),
        EditRefusal::Invalid { field, reason } => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "invalid_row",
            format!("row {row}, field {field}: {reason}"),
            Value::Null,
        ),
        EditRefusal::NoRoom { model } => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "no_room",
            format!("row {row}, field model: the table would not fit: no room for {model}"),
            Value::Null,
        ),
        EditRefusal::IdReused => (
            StatusCode::CONFLICT,
            "key_reused",
            format!("row {row}: this idempotency-key was used for another edit"),
            Value::Null,
        ),
    };
    let error = json!({ "message": message, "type": code, "code": code, "current": current });
    HttpResponse::build(status).json(&json!({ "error": error }))
}

fn json_row(id: &RowId, status: &RowStatus) -> Value {
    json!({
        "id": id,
        "partner": status.row.partner,
        "version": status.row.version,
        "fields": status.row.fields,
        "in_force": status.in_force,
        "members": status.members,
        "lagging": status.lagging,
        "homes": status.homes,
    })
}

fn json_table(table: &TableStatus) -> Value {
    let rows = table.rows.iter();
    let rows: Vec<Value> = rows.map(|(id, row)| json_row(id, row)).collect();
    json!({ "position": table.position, "rows": rows })
}

const CSV_HEADER: &str = "id,partner,version,model,class,urgency,weight,max_running,\
patience_ms,at_most_once,whole,in_force,members,homes\n";

fn csv_text(table: &TableStatus) -> String {
    let mut text = CSV_HEADER.to_owned();
    for (id, status) in &table.rows {
        let fields = &status.row.fields;
        let urgency = json!(fields.urgency);
        let cells = [
            id.to_string(),
            status.row.partner.to_string(),
            status.row.version.to_string(),
            fields.model.to_string(),
            fields.class.clone(),
            urgency.as_str().unwrap_or_default().to_owned(),
            fields.weight.to_string(),
            fields.max_running.to_string(),
            fields.patience_ms.to_string(),
            fields.at_most_once.to_string(),
            fields.whole.to_string(),
            status.in_force.to_string(),
            status.members.to_string(),
            status.homes.join(" "),
        ];
        let cells: Vec<String> = cells.iter().map(|cell| csv_cell(cell)).collect();
        text.push_str(&cells.join(","));
        text.push('\n');
    }
    text
}

fn csv_cell(text: &str) -> String {
    match text.contains([',', '"', '\n', '\r']) {
        true => format!("\"{}\"", text.replace('"', "\"\"")),
        false => text.to_owned(),
    }
}
