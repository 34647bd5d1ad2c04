/** A stand-in caller that records the outcome of every call. */
import { Agent, request } from "undici";
import * as v from "valibot";
import { SystemClock } from "../adapters/clock/index.ts";
import { OUTCOME_HEADER, REQUEST_ID_HEADER } from "../adapters/http/index.ts";

const DEFAULT_CALL_TIMEOUT_MS = 30_000;
const CONNECT_TIMEOUT_MS = 2_000;

const CONNECT_FAILURE_CODES = new Set([
  "UND_ERR_CONNECT_TIMEOUT",
  "ECONNREFUSED",
]);

const answerSchema = v.object({
  ranOn: v.string(),
  path: v.string(),
  body: v.string(),
});

/** Outcome of a call, as the caller sees it. */
export type CallOutcome =
  /** The complete answer to this call arrived. */
  | "succeeded"
  /** The response says that the call did not run. */
  | "notRun"
  /** The response neither reports success nor says that the call did not run. */
  | "unknown"
  /** A response ended normally, but is not the complete answer to this call. */
  | "truncated"
  /** No connection was established, so nothing was sent. */
  | "unreached"
  /** The connection was lost, or there was no response in time. */
  | "broken";

/**
 * Record of one call, which can be matched with the work that backend servers
 * ran.
 */
export interface CallRecord {
  /** Unique id; part of the path that the backend server receives. */
  readonly callId: string;
  readonly team: string;
  readonly queue: string;
  readonly entryUrl: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly outcome: CallOutcome;
  /** HTTP status; 0 without a response. */
  readonly status: number;
  readonly requestId: string;
  /** Why the call did not succeed; empty on success. */
  readonly reason: string;
}

/** Options of {@link StandInCaller}. */
export interface StandInCallerOptions {
  /** Prefix of the id of each call; unique among the callers of a test run. */
  readonly callerId: string;
  /** Chooses the entry for each call. */
  readonly chooseEntryUrl: () => string;
  /** Maximum duration of a call, in milliseconds. */
  readonly callTimeoutMs?: number;
}

/** A call to send. */
export interface Call {
  readonly team: string;
  readonly queue: string;
  readonly key: string | undefined;
  readonly method?: "GET" | "POST";
}

/** Sends calls and records their outcomes. */
export class StandInCaller {
  /** Records of all calls that have ended. */
  readonly records: CallRecord[] = [];
  readonly #options: StandInCallerOptions;
  readonly #clock = new SystemClock();
  readonly #agent = new Agent({
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
  });
  #nextCallNumber = 1;

  constructor(options: StandInCallerOptions) {
    this.#options = options;
  }

  /**
   * Sends one call and records its outcome.
   *
   * @param call - Team, queue, key and method.
   * @returns The record of the call.
   */
  async send(call: Call): Promise<CallRecord> {
    const callId = `${this.#options.callerId}-${this.#nextCallNumber}`;
    this.#nextCallNumber += 1;
    const entryUrl = this.#options.chooseEntryUrl();
    const sentAtMs = this.#clock.monotonicMs();
    const result = await this.#exchange(call, callId, entryUrl);
    const record: CallRecord = {
      callId,
      team: call.team,
      queue: call.queue,
      entryUrl,
      sentAtMs,
      endedAtMs: this.#clock.monotonicMs(),
      ...result,
    };
    this.records.push(record);
    return record;
  }

  /** Closes all connections. */
  async stop(): Promise<void> {
    await this.#agent.destroy();
  }

  async #exchange(
    call: Call,
    callId: string,
    entryUrl: string,
  ): Promise<Pick<CallRecord, "outcome" | "status" | "requestId" | "reason">> {
    const path = `/${call.team}/${callId}`;
    const method = call.method ?? "POST";
    let status = 0;
    let requestId = "";
    try {
      const response = await request(`${entryUrl}/q/${call.queue}${path}`, {
        dispatcher: this.#agent,
        method,
        headers: call.key === undefined
          ? {}
          : { authorization: `Bearer ${call.key}` },
        body: method === "POST" ? callId : null,
        signal: AbortSignal.timeout(
          this.#options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS,
        ),
      });
      status = response.statusCode;
      requestId = String(response.headers[REQUEST_ID_HEADER] ?? "");
      const text = await response.body.text();
      const declared = String(response.headers[OUTCOME_HEADER] ?? "");
      const outcome = readOutcome(declared, status);
      if (outcome !== "succeeded") {
        return { outcome, status, requestId, reason: text.slice(0, 300) };
      }
      const sentBody = method === "POST" ? callId : "";
      return isWholeAnswer(text, path, sentBody)
        ? { outcome, status, requestId, reason: "" }
        : {
          outcome: "truncated",
          status,
          requestId,
          reason: text.slice(0, 300),
        };
    } catch (error) {
      const outcome = isNeverSent(error) ? "unreached" : "broken";
      return { outcome, status, requestId, reason: String(error) };
    }
  }
}

function isNeverSent(error: unknown): boolean {
  return error instanceof Error && "code" in error &&
    CONNECT_FAILURE_CODES.has(String(error.code));
}

function readOutcome(declared: string, status: number): CallOutcome {
  if (declared === "not-run") {
    return "notRun";
  }
  return declared === "ran" && status === 200 ? "succeeded" : "unknown";
}

function isWholeAnswer(text: string, path: string, body: string): boolean {
  try {
    const parsed = v.safeParse(answerSchema, JSON.parse(text));
    return parsed.success && parsed.output.path === path &&
      parsed.output.body === body;
  } catch {
    return false;
  }
}
