/** Port through which the scheduler controls the runs on runners. */
import type { Result } from "true-myth";
import * as v from "valibot";
import type { RunEnd, Runner, TaskId } from "../domain/index.ts";

/** Schema of {@link RunnerRefusal}. */
export const runnerRefusalSchema = v.picklist([
  /** The runner has seen a higher fencing token, that of another leader. */
  "staleFence",
  /** This run, or a later run of the task, was stopped or has ended there. */
  "outdatedRun",
  /** The lease of the request has expired on the runner's clock. */
  "leaseOver",
  /** The runner has too little free capacity. */
  "noRoom",
  /** The request has no valid ticket of the advice service. */
  "noTicket",
  /** Another incarnation of the runner answers at the address. */
  "otherLife",
  /** The runner is overloaded or does not serve at present. */
  "unhealthy",
  /** The runner rejects the request as malformed. */
  "invalid",
  /** No process listens at the address. */
  "notListening",
]);

/** Why a request was certainly not carried out; the values are logged. */
export type RunnerRefusal = v.InferOutput<typeof runnerRefusalSchema>;

/** A request that was refused or got no usable answer. */
export interface RunnerFailure {
  /** Absent when the request may have been carried out, or still may be. */
  readonly refusal?: RunnerRefusal | undefined;
  /** Runner's clock in its answer, in milliseconds; absent without an answer. */
  readonly clockMs?: number | undefined;
  /**
   * True when the request can have reached only the process that gave the newest
   * answer before it was sent, since no connection was opened after that answer.
   */
  readonly isSameProcess?: boolean | undefined;
  readonly message: string;
}

/** The answer to a request that was carried out. */
export interface RunnerAnswer {
  /** Time on the runner's clock, in milliseconds. */
  readonly clockMs: number;
}

/** Identifies one run of a task. */
export interface RunName {
  readonly task: TaskId;
  readonly runNumber: number;
}

/** A request to start a run. */
export interface StartRequest extends RunName {
  /** Work description of the job, passed on as it was submitted. */
  readonly text: string;
  /** Time on the runner's clock at which its runs must stop (ms). */
  readonly leaseUntilMs: number;
  readonly fencingToken: number;
  /** Saved progress to start from; empty for none. */
  readonly saved: string;
  /** Ticket by which the advice service allows the runner to run the step. */
  readonly ticket?: string | undefined;
}

/** A run that is in progress on a runner. */
export interface RunReport extends RunName {
  /** Progress that the run has saved; empty for none. */
  readonly saved: string;
  /** Progress in percent; a long-running task is fully available at 100. */
  readonly percent: number;
  /** Tail latency of a serving task in milliseconds; else millicores in use. */
  readonly load: number;
}

/** A run that has ended on a runner. */
export interface EndReport extends RunName {
  /** Position in the runner's list of ended runs. */
  readonly position: number;
  readonly how: RunEnd;
  /** Progress that the run has saved; empty for none. */
  readonly saved: string;
}

/** Runs that are in progress on a runner and runs that have ended there. */
export interface RunnerReport extends RunnerAnswer {
  /** Start time of the runner incarnation that answers, in milliseconds. */
  readonly bornAtMs: number;
  readonly running: readonly RunReport[];
  readonly ended: readonly EndReport[];
}

/** A poll of a runner, which may also renew the leases of its runs. */
export interface PollRequest {
  readonly fencingToken: number;
  /** Position up to which the runner may delete its list of ended runs. */
  readonly ackPosition: number;
  /**
   * Time on the runner's clock at which its runs must stop (ms); leases are not
   * renewed when absent.
   */
  readonly leaseUntilMs?: number | undefined;
  /** How long the runner may delay its answer until a run ends (ms). */
  readonly waitMs: number;
  /** Time after which the poll counts as unanswered, in milliseconds. */
  readonly timeoutMs: number;
}

/** What a request needs to know of a runner. */
export type RunnerEndpoint = Pick<Runner, "runnerId" | "address">;

/** Sends requests to runners; each request is sent at most once. */
export interface RunnerClient {
  /** Starts a run; a run that has started already stays as it is. */
  start(
    runner: RunnerEndpoint,
    request: StartRequest,
  ): Promise<Result<RunnerAnswer, RunnerFailure>>;
  /** Stops a run; a run that has not started there can no longer start. */
  stop(
    runner: RunnerEndpoint,
    run: RunName,
    fencingToken: number,
  ): Promise<Result<RunnerAnswer, RunnerFailure>>;
  /** Reads which runs are in progress and which have ended, and renews leases. */
  poll(
    runner: RunnerEndpoint,
    request: PollRequest,
  ): Promise<Result<RunnerReport, RunnerFailure>>;
  /** Limits a run to a share of its full speed, in percent. */
  pace(
    runner: RunnerEndpoint,
    run: RunName & { readonly percent: number },
    fencingToken: number,
  ): Promise<Result<RunnerAnswer, RunnerFailure>>;
  /** Closes the connections to a runner. */
  disconnect(runner: RunnerEndpoint): void;
}
