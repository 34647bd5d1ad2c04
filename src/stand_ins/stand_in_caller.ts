/** A caller that keeps a record of every request it sent. */
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

/** How a call looked to the caller. */
export type CallOutcome =
  /** A whole answer to this very call. */
  | "succeeded"
  /** Refused with the statement that it did not run. */
  | "notRun"
  /** Answered with the statement that the outcome is in doubt. */
  | "unknown"
  /** The answer ended as if complete, but was not the whole answer to this call. */
  | "truncated"
  /** No connection was made, so nothing was sent. */
  | "unreached"
  /** The connection broke, or no answer came. */
  | "broken";

/** One call with all that is needed to match it with what really ran. */
export interface CallRecord {
  /** Unique id, which is part of the path that the backend server sees. */
  readonly callId: string;
  readonly team: string;
  readonly queue: string;
  readonly entryUrl: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly outcome: CallOutcome;
  /** HTTP status; 0 when no answer came. */
  readonly status: number;
  readonly requestId: string;
  /** Why the call did not succeed. */
  readonly reason: string;
}

/** Options of {@link StandInCaller}. */
export interface StandInCallerOptions {
  /** Part of the id of each call; unique among the callers of one run. */
  readonly callerId: string;
  readonly chooseEntryUrl: () => string;
  /** Longest wait for an answer, in milliseconds. */
  readonly callTimeoutMs?: number;
}

/** One call to make. */
export interface Call {
  readonly team: string;
  readonly queue: string;
  readonly key: string | undefined;
  readonly method?: "GET" | "POST";
}

/** Sends calls and records how each looked. */
export class StandInCaller {
  /** Every call that has ended. */
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
   * Makes one call.
   *
   * @param call - Team, queue, key and method.
   * @returns The record, which is kept too.
   */
  async send(call: Call): Promise<CallRecord> {
    const callId = `${this.#options.callerId}-${this.#nextCallNumber}`;
    this.#nextCallNumber += 1;
    const entryUrl = this.#options.chooseEntryUrl();
    const sentAtMs = this.#clock.monotonicMs();
    const seen = await this.#exchange(call, callId, entryUrl);
    const record: CallRecord = {
      callId,
      team: call.team,
      queue: call.queue,
      entryUrl,
      sentAtMs,
      endedAtMs: this.#clock.monotonicMs(),
      ...seen,
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
      const answer = await request(`${entryUrl}/q/${call.queue}${path}`, {
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
      status = answer.statusCode;
      requestId = String(answer.headers[REQUEST_ID_HEADER] ?? "");
      const text = await answer.body.text();
      const declared = String(answer.headers[OUTCOME_HEADER] ?? "");
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
