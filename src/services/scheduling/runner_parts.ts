/** Composes the parts of the task that serves one runner incarnation. */
import type { RunDelays, RunnerPaces } from "../../decisions/index.ts";
import type { Runner, RunnerLoad, RunningTask } from "../../domain/index.ts";
import { LeaseGrants } from "./lease_grants.ts";
import { LeaseTracker } from "./lease_tracker.ts";
import { PollFailures } from "./poll_failures.ts";
import {
  RequestObserver,
  type RequestObserverOptions,
} from "./request_observer.ts";
import { RunEndDetector } from "./run_end_detector.ts";
import { RunReconciler, type RunReconcilerOptions } from "./run_reconciler.ts";
import { RunnerRemover } from "./runner_remover.ts";
import { UncertainStarts } from "./uncertain_starts.ts";

/** Options of the parts that are parts themselves. */
type OwnPart = "lease" | "grants" | "requests" | "uncertain";

/** Options of {@link createRunnerParts}. */
export interface RunnerPartsOptions
  extends
    Omit<RequestObserverOptions, OwnPart>,
    Omit<RunReconcilerOptions, OwnPart> {
  /** Returns the runner as it last announced itself. */
  readonly findRunner: () => Runner;
  readonly findLoad: () => RunnerLoad;
  /** Returns how many failed runs of a task its job allows. */
  readonly findMaxAttempts: (run: RunningTask) => number;
  /**
   * Steady time at which leases have expired that requests to an earlier
   * incarnation may have granted here (ms); `-Infinity` if there is none.
   */
  readonly foreignLeaseEndMs: number;
  /** Records how much longer than estimated runs took. */
  readonly delays: Pick<RunDelays, "record">;
  /** Compares the runners by the duration of their runs; none by default. */
  readonly paces?: Pick<RunnerPaces, "record"> | undefined;
}

/** The parts, which share the lease and what is known of the requests. */
export interface RunnerParts {
  readonly ends: RunEndDetector;
  readonly failures: PollFailures;
  readonly grants: LeaseGrants;
  readonly lease: LeaseTracker;
  readonly remover: RunnerRemover;
  readonly requests: RequestObserver;
  readonly runs: RunReconciler;
  readonly uncertain: UncertainStarts;
}

/**
 * Creates the parts of a runner's task.
 *
 * @param options - The ports, and what is known of the runner.
 * @returns The parts.
 */
export function createRunnerParts(options: RunnerPartsOptions): RunnerParts {
  const lease = new LeaseTracker(options.clock, options.foreignLeaseEndMs);
  const grants = new LeaseGrants({ ...options, lease });
  const requests = new RequestObserver({ ...options, lease });
  const uncertain = new UncertainStarts(options);
  const shared = { ...options, lease, grants, requests, uncertain };
  const runs = new RunReconciler(shared);
  return {
    ends: new RunEndDetector({
      ...options,
      findFault: (run) => runs.findFault(run),
    }),
    failures: new PollFailures(options.status),
    grants,
    lease,
    remover: new RunnerRemover(shared),
    requests,
    runs,
    uncertain,
  };
}
