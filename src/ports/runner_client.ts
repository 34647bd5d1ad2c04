/** Orders to runners, as the scheduler sees them. */
import type { Result } from "true-myth";
import type { RunEnd, Runner, TaskId } from "../domain/index.ts";

/** Why a runner certainly did not do what it was told. */
export type RunnerRefusal =
  /** Another leader gave orders under a higher fencing token. */
  | "staleFence"
  /** The run, or a later one, was stopped or has ended there. */
  | "outdatedRun"
  | "leaseOver"
  | "noRoom"
  | "noTicket"
  /** Another lifetime answers at the address. */
  | "otherLife"
  | "unhealthy"
  | "invalid"
  /** Nobody listens at the address. */
  | "notListening";

/** An order that was not carried out, or that got no answer. */
export interface RunnerFailure {
  /** Absent when the order may have been carried out, or may be later. */
  readonly refusal?: RunnerRefusal | undefined;
  /** Time on the runner's clock, when it answered (ms). */
  readonly clockMs?: number | undefined;
  readonly message: string;
}

/** The answer to an order that was carried out. */
export interface RunnerAnswer {
  /** Time on the runner's clock, in milliseconds. */
  readonly clockMs: number;
}

/** Names one run of a task. */
export interface RunName {
  readonly task: TaskId;
  readonly runNumber: number;
}

/** An order to start a run. */
export interface StartRequest extends RunName {
  readonly text: string;
  /** Time on the runner's clock until which its runs may go on (ms). */
  readonly leaseUntilMs: number;
  readonly fencingToken: number;
  /** Progress to start from; empty for none. */
  readonly saved: string;
  /** Proof of the advice service that the runner may run the step. */
  readonly ticket?: string | undefined;
}

/** A run that is at work on a runner. */
export interface RunReport extends RunName {
  readonly saved: string;
  /** Progress; an endless task is at work at 100. */
  readonly percent: number;
  /** Tail of response times (ms) of a serving task; else millicores in use. */
  readonly load: number;
}

/** A run that has ended on a runner. */
export interface EndReport extends RunName {
  /** Position in the runner's list of ends. */
  readonly position: number;
  readonly how: RunEnd;
  readonly saved: string;
}

/** What a runner runs, and what has ended there. */
export interface RunnerReport extends RunnerAnswer {
  /** Birth of the lifetime that answers, in milliseconds. */
  readonly bornAtMs: number;
  readonly running: readonly RunReport[];
  readonly ended: readonly EndReport[];
}

/** A look at a runner that may also extend its leases. */
export interface PollRequest {
  readonly fencingToken: number;
  /** Position up to which the runner may forget its ends. */
  readonly ackPosition: number;
  /** Time on the runner's clock until which its runs may go on (ms). */
  readonly leaseUntilMs?: number | undefined;
  /** How long the runner may wait for a run to end, in milliseconds. */
  readonly waitMs: number;
  /** Time after which the look counts as unanswered, in milliseconds. */
  readonly timeoutMs: number;
}

/** Gives orders to runners; each order is sent once at the most. */
export interface RunnerClient {
  /** Starts a run; a run that is there already stays as it is. */
  start(
    runner: Runner,
    order: StartRequest,
  ): Promise<Result<RunnerAnswer, RunnerFailure>>;
  /** Stops a run; one that has not begun there never will. */
  stop(
    runner: Runner,
    run: RunName,
    fencingToken: number,
  ): Promise<Result<RunnerAnswer, RunnerFailure>>;
  /** Looks at what runs and what has ended. */
  poll(
    runner: Runner,
    order: PollRequest,
  ): Promise<Result<RunnerReport, RunnerFailure>>;
  /** Lets a run work at a share of its speed, in percent. */
  pace(
    runner: Runner,
    run: RunName & { readonly percent: number },
    fencingToken: number,
  ): Promise<Result<RunnerAnswer, RunnerFailure>>;
  /** Closes the connections to a runner. */
  disconnect(runner: Runner): void;
}
