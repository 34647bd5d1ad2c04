/** Routes for operators under `/v1/`; each requires an operator's key. */
import { Result } from "true-myth";
import * as v from "valibot";
import {
  createFailure,
  type Failure,
  nameSchema,
  RESOURCE_KINDS,
  type ResourceKind,
  resourceKindSchema,
  validateWith,
} from "../../domain/index.ts";
import type { Agreement } from "../../ports/index.ts";
import type {
  FleetExplainer,
  Operator,
  OperatorService,
} from "../../services/index.ts";
import {
  type Exchange,
  readBearerToken,
  readJson,
  sendFailure,
  sendResult,
} from "./exchange.ts";
import type { HttpServer } from "./http_server.ts";

/** Largest accepted body of a configuration change, in bytes. */
export const MAX_CHANGE_BYTES = 1_024 * 1_024;
/** A watch stream repeats the status after this time without a change (ms). */
const WATCH_IDLE_MS = 15_000;

const newKeySchema = v.strictObject({
  name: nameSchema,
  role: v.picklist(["team", "operator"]),
  team: v.optional(nameSchema),
  operationId: v.pipe(v.string(), v.minLength(8), v.maxLength(80)),
  expectedRevision: v.pipe(v.number(), v.integer(), v.minValue(0)),
});

/** Options of {@link addOperatorRoutes}. */
export interface OperatorRoutesOptions {
  readonly operators: OperatorService;
  readonly explainer: FleetExplainer;
  readonly agreement: Agreement;
}

/** Handles a request of an authenticated operator. */
export type OperatorHandler = (
  exchange: Exchange,
  operator: Operator,
) => Promise<void>;

/**
 * Adds the routes for operators.
 *
 * @param server - The entry's HTTP server.
 * @param options - The services that the routes call.
 */
export function addOperatorRoutes(
  server: HttpServer,
  options: OperatorRoutesOptions,
): void {
  const requireOperator = (handler: OperatorHandler) => (exchange: Exchange) =>
    serveOperator(exchange, options.operators, handler);
  server.route(
    ["POST"],
    "/v1/changes",
    requireOperator((exchange, operator) =>
      applyChange(exchange, options, operator)
    ),
  );
  server.route(
    ["POST"],
    "/v1/keys",
    requireOperator((exchange, operator) =>
      createKey(exchange, options, operator)
    ),
  );
  server.route(
    ["GET"],
    "/v1/status",
    requireOperator((exchange) => sendStatus(exchange, options)),
  );
  server.route(
    ["GET"],
    "/v1/watch",
    requireOperator((exchange) => streamChanges(exchange, options)),
  );
  server.route(
    ["GET"],
    "/v1/explain/:kind/:name",
    requireOperator((exchange) => explainSubject(exchange, options)),
  );
  server.route(
    ["GET"],
    "/v1/resources/:kind",
    requireOperator((exchange) => listResources(exchange, options)),
  );
  server.route(
    ["GET"],
    "/v1/resources/:kind/:name",
    requireOperator((exchange) => readResource(exchange, options)),
  );
}

/**
 * Authenticates an operator, and passes the request to the handler or responds
 * with the failure.
 *
 * @param exchange - The request and its response.
 * @param operators - Authenticates the key of the request.
 * @param handler - Handles the request once it is authenticated.
 */
export async function serveOperator(
  exchange: Exchange,
  operators: OperatorService,
  handler: OperatorHandler,
): Promise<void> {
  const operator = operators.authenticate(readBearerToken(exchange.request));
  if (operator.isErr) {
    sendFailure(exchange.response, operator.error);
    return;
  }
  await handler(exchange, operator.value);
}

async function applyChange(
  exchange: Exchange,
  options: OperatorRoutesOptions,
  operator: Operator,
): Promise<void> {
  const body = await readJson(exchange, MAX_CHANGE_BYTES);
  const accepted = body.isErr
    ? Result.err<never, Failure>(body.error)
    : await options.operators.applyChange(operator, body.value);
  sendResult(exchange.response, accepted);
}

async function createKey(
  exchange: Exchange,
  options: OperatorRoutesOptions,
  operator: Operator,
): Promise<void> {
  const body = await readJson(exchange, MAX_CHANGE_BYTES);
  const newKey = body.andThen((value) =>
    validateWith(newKeySchema, value, { subject: "key" })
  );
  if (newKey.isErr) {
    sendFailure(exchange.response, newKey.error);
    return;
  }
  const { team, ...rest } = newKey.value;
  const created = await options.operators.createKey(operator, {
    ...rest,
    team,
  });
  sendResult(exchange.response, created, 201);
}

function sendStatus(
  exchange: Exchange,
  options: OperatorRoutesOptions,
): Promise<void> {
  sendResult(exchange.response, Result.ok(options.agreement.status()));
  return Promise.resolve();
}

async function explainSubject(
  exchange: Exchange,
  options: OperatorRoutesOptions,
): Promise<void> {
  const { kind, name } = exchange.params;
  const sinceMs = Number(exchange.query.get("sinceMs") ?? 0);
  sendResult(
    exchange.response,
    await options.explainer.explain(`${kind}/${name}`, sinceMs),
  );
}

function listResources(
  exchange: Exchange,
  options: OperatorRoutesOptions,
): Promise<void> {
  const kind = readKind(exchange);
  const listed = kind.map((resourceKind) => ({
    revision: options.agreement.state.revision,
    items: options.operators.list(resourceKind),
  }));
  sendResult(exchange.response, listed);
  return Promise.resolve();
}

function readResource(
  exchange: Exchange,
  options: OperatorRoutesOptions,
): Promise<void> {
  const kind = readKind(exchange);
  const found = kind.andThen((resourceKind) =>
    options.operators.read(resourceKind, exchange.params["name"] ?? "")
  );
  sendResult(exchange.response, found);
  return Promise.resolve();
}

function readKind(exchange: Exchange): Result<ResourceKind, Failure> {
  const kind = exchange.params["kind"] ?? "";
  const parsed = v.safeParse(resourceKindSchema, kind);
  return parsed.success ? Result.ok(parsed.output) : Result.err(
    createFailure("unknownKind", `unknown resource kind '${kind}'`, {
      remedy: `use one of ${RESOURCE_KINDS.join(", ")}`,
    }),
  );
}

async function streamChanges(
  exchange: Exchange,
  options: OperatorRoutesOptions,
): Promise<void> {
  const { response } = exchange;
  const signal = AbortSignal.any([exchange.signal, exchange.stopping]);
  response.writeHead(200, { "content-type": "application/x-ndjson" });
  let appliedIndex = -1;
  while (!signal.aborted) {
    const idle = AbortSignal.any([signal, AbortSignal.timeout(WATCH_IDLE_MS)]);
    const status = await options.agreement.follow(appliedIndex, idle);
    appliedIndex = status.appliedIndex;
    response.write(`${JSON.stringify(status)}\n`);
  }
  response.end();
}
