/** Routes for jobs and for the scheduling state of the leader. */
import { Result } from "true-myth";
import * as v from "valibot";
import {
  type Failure,
  jobSpecSchema,
  validateWith,
} from "../../domain/index.ts";
import type { Random } from "../../ports/index.ts";
import {
  type JobCall,
  type JobCallForwarder,
  SCHEDULING_METHODS,
  type SchedulingClient,
} from "../../services/scheduling/index.ts";
import {
  type Exchange,
  readBearerToken,
  readJson,
  REQUEST_ID_HEADER,
  sendResult,
} from "./exchange.ts";
import type { HttpServer } from "./http_server.ts";

/** Largest accepted body of a job, in bytes: fits 20,000 short steps. */
const MAX_JOB_BYTES = 1_048_576;
/** Timeout of calls to the leader, in milliseconds; covers an election. */
const LEADER_TIMEOUT_MS = 5_000;

/** Schema of the body with which a caller submits a job. */
const submittedJobSchema = v.object({
  ...jobSpecSchema.entries,
  /** Name or address of the queue that the job goes to. */
  queue: v.string(),
});

/** Options of {@link addJobRoutes}. */
export interface JobRoutesOptions {
  /** Forwards calls about jobs to the leader. */
  readonly calls: JobCallForwarder;
  /** Calls the leader for its scheduling state. */
  readonly leader: Pick<SchedulingClient, "call">;
  readonly random: Random;
}

/**
 * Adds the routes for jobs, `/v1/scheduling` and `/v1/explain`.
 *
 * @param server - The HTTP server for operators.
 * @param options - The services that the routes call.
 */
export function addJobRoutes(
  server: HttpServer,
  options: JobRoutesOptions,
): void {
  server.route(["POST"], "/v1/jobs", (exchange) => submit(exchange, options));
  for (
    const [method, action] of [["GET", "read"], ["DELETE", "cancel"]] as const
  ) {
    server.route(
      [method],
      "/v1/jobs/:jobId",
      (exchange) => forwardCall(exchange, options, { action }),
    );
  }
  server.route(["GET"], "/v1/scheduling/:kind", async (exchange) => {
    const { kind } = exchange.params;
    const listed = await options.leader.call(
      SCHEDULING_METHODS.list,
      { kind },
      LEADER_TIMEOUT_MS,
      { isRead: true },
    );
    sendResult(exchange.response, listed.map((items) => ({ items })));
  });
  server.route(
    ["POST"],
    "/v1/explain/placement",
    (exchange) => explainPlacement(exchange, options),
  );
  server.route(["GET"], "/v1/explain/:kind/:name", async (exchange) => {
    const { kind, name } = exchange.params;
    const subject = { kind, name };
    const explained = await options.leader.call(
      SCHEDULING_METHODS.explain,
      subject,
      LEADER_TIMEOUT_MS,
      { isRead: true },
    );
    sendResult(exchange.response, explained);
  });
}

async function explainPlacement(
  exchange: Exchange,
  { leader }: JobRoutesOptions,
): Promise<void> {
  const body = await readJson(exchange, MAX_JOB_BYTES);
  const explained = body.isErr ? body : await leader.call(
    SCHEDULING_METHODS.explainPlacement,
    body.value,
    LEADER_TIMEOUT_MS,
    { isRead: true },
  );
  sendResult(exchange.response, explained);
}

async function submit(
  exchange: Exchange,
  options: JobRoutesOptions,
): Promise<void> {
  const body = await readJson(exchange, MAX_JOB_BYTES);
  const job = body.andThen((value) =>
    validateWith(submittedJobSchema, value, { subject: "job" })
  );
  if (job.isErr) {
    sendResult(exchange.response, Result.err<unknown, Failure>(job.error));
    return;
  }
  const { queue, jobId, ...work } = job.value;
  await forwardCall(exchange, options, {
    action: "submit",
    queue,
    jobId,
    work,
  });
}

interface JobRouteCall extends Pick<JobCall, "action" | "queue" | "work"> {
  readonly jobId?: string;
}

async function forwardCall(
  { params, request, response }: Exchange,
  { calls, random }: JobRoutesOptions,
  { jobId, ...call }: JobRouteCall,
): Promise<void> {
  const requestId = random.nextId();
  response.setHeader(REQUEST_ID_HEADER, requestId);
  const answered = await calls.forward({
    ...call,
    path: `/${jobId ?? params["jobId"] ?? ""}`,
    key: readBearerToken(request),
    requestId,
  }, LEADER_TIMEOUT_MS);
  sendResult(
    response,
    answered.map((value) => ({ jobId: jobId ?? params["jobId"], ...value })),
  );
}
