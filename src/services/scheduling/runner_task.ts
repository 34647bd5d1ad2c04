/** Task of the leader that serves one runner incarnation. */
import {
  type Runner,
  type RunnerLoad,
  type RunningTask,
  type SchedulingOperation,
} from "../../domain/index.ts";
import type { RunnerFailure, RunnerReport } from "../../ports/index.ts";
import { type Notifier, runTogether, waitFor } from "../../tasks/index.ts";
import type { LeaseGrants } from "./lease_grants.ts";
import type { LeaseTracker } from "./lease_tracker.ts";
import type { PollFailures } from "./poll_failures.ts";
import { awaitsStartup, choosePollTimes } from "./poll_times.ts";
import type { RequestObserver } from "./request_observer.ts";
import type { RunEndDetector } from "./run_end_detector.ts";
import type { RunReconciler } from "./run_reconciler.ts";
import { createRunnerParts, type RunnerPartsOptions } from "./runner_parts.ts";
import type { RunnerRemover } from "./runner_remover.ts";
import type { RunnerStatus } from "./runner_status.ts";
import {
  END_BATCH_MS,
  EXPIRED_RETRY_MS,
  IDLE_CHECK_MS,
  PROPOSE_RETRY_MS,
  REQUEST_RETRY_MS,
} from "./timing.ts";
import type { UncertainStarts } from "./uncertain_starts.ts";

/** Options of {@link RunnerTask}. */
export interface RunnerTaskOptions
  extends Omit<RunnerPartsOptions, "findRunner" | "findLoad"> {
  readonly runner: Runner;
  /** Notified when the runner has become operational. */
  readonly changed: Notifier;
}

/** Polls the runner, renews its leases and records the runs that have ended. */
export class RunnerTask {
  readonly status: RunnerStatus;
  readonly #options: RunnerTaskOptions;
  readonly #lease: LeaseTracker;
  readonly #grants: LeaseGrants;
  readonly #requests: RequestObserver;
  readonly #uncertain: UncertainStarts;
  readonly #runs: RunReconciler;
  readonly #ends: RunEndDetector;
  readonly #remover: RunnerRemover;
  readonly #failures: PollFailures;
  /** Position in the runner's list of ended runs up to which the log has them. */
  #recordedPosition = 0;
  /** Position up to which the runner was told to delete ended runs. */
  #ackedPosition = 0;
  #runner: Runner;
  #isFenced = false;

  constructor(options: RunnerTaskOptions) {
    this.#options = options;
    this.#runner = options.runner;
    this.status = options.status;
    const parts = createRunnerParts({
      ...options,
      findRunner: () => this.#runner,
      findLoad: () => this.#load,
    });
    this.#ends = parts.ends;
    this.#failures = parts.failures;
    this.#grants = parts.grants;
    this.#lease = parts.lease;
    this.#remover = parts.remover;
    this.#requests = parts.requests;
    this.#runs = parts.runs;
    this.#uncertain = parts.uncertain;
  }

  /** The runner as it last announced itself. */
  get runner(): Runner {
    return this.#runner;
  }

  /** Stops a run so that its task is placed elsewhere. */
  evict(run: RunningTask): void {
    this.#runs.evict(run, this.#options.tasks.signal);
  }

  /**
   * Removes the runner, whose VM was taken away by request. The answer to the
   * last poll may still be on its way: the ends that it lists are recorded
   * first, so that no task that is done starts again.
   */
  retire(): void {
    this.#remover.retire();
    this.#options.loadChanged.notify();
  }

  /** Sets the runner as it has announced itself again. */
  update(runner: Runner): void {
    this.#runner = runner;
  }

  /**
   * Polls the runner and sends requests until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const poll = (stop: AbortSignal) => this.#poll(stop);
    const reconcile = (stop: AbortSignal) => this.#runs.run(stop);
    await runTogether([poll, reconcile], signal);
  }

  get #load(): RunnerLoad {
    return this.#options.log.state.jobs.findLoad(this.#runner);
  }

  // A successor may have taken a lease that was meant for this incarnation.
  get #leaseLeftMs(): number {
    return this.status.mayRunAtSuccessor ? Infinity : this.#lease.remainingMs;
  }

  get #isPollDue(): boolean {
    return !this.status.isSynced || !this.status.isAnswering ||
      this.#load.running.size > 0 || this.#runs.hasOrphans ||
      this.#recordedPosition > this.#ackedPosition || this.#lease.needsReading;
  }

  async #poll(signal: AbortSignal): Promise<void> {
    const { clock, loadChanged, log } = this.#options;
    while (!signal.aborted && !this.#isFenced) {
      if (this.#remover.isDecided) {
        await this.#remover.record();
        await clock.sleep(EXPIRED_RETRY_MS, signal);
        continue;
      }
      if (!this.#isPollDue) {
        await waitFor({
          clock,
          notifier: loadChanged,
          timeoutMs: IDLE_CHECK_MS,
          signal,
          isMet: () => this.#isPollDue || this.#remover.isDecided,
        });
        continue;
      }
      if (!log.holdsLeaderLease) {
        await clock.sleep(REQUEST_RETRY_MS, signal);
        continue;
      }
      await this.#pollOnce(signal);
    }
  }

  async #pollOnce(signal: AbortSignal): Promise<void> {
    const { client, clock, fencingToken } = this.#options;
    const ackPosition = this.#chooseAckPosition();
    const leaseUntilMs = this.#grants.renew();
    const hasRuns = this.#load.running.size > 0;
    const times = choosePollTimes({
      isBusy: this.status.isSynced && hasRuns,
      isAnswering: this.status.isAnswering,
      awaitsReport: this.#runs.awaitsReport,
      awaitsStartup: awaitsStartup(
        this.#load.running.values(),
        this.status,
        clock.nowMs(),
      ),
      leaseLeftMs: hasRuns ? this.#leaseLeftMs : Infinity,
    });
    const { readingMs } = this.#lease;
    const sentAtMs = clock.monotonicMs();
    const sentAtSteadyMs = clock.steadyMs();
    const endRequest = this.status.beginRequest(times.waitMs);
    const polled = await client.poll(this.#runner, {
      fencingToken,
      ackPosition,
      leaseUntilMs,
      ...times,
    });
    endRequest();
    if (signal.aborted) {
      return;
    }
    this.#requests.count("poll", polled);
    if (polled.isErr) {
      await this.#handleFailure(polled.error, sentAtMs, signal);
      return;
    }
    this.#failures.recordAnswer();
    if (polled.value.bornAtMs !== this.#runner.bornAtMs) {
      this.status.recordNoAnswer();
      await this.#remover.replace(polled.value.bornAtMs);
      await clock.sleep(REQUEST_RETRY_MS, signal);
      return;
    }
    if (polled.value.clockMs < readingMs) {
      await this.#dropRepeated(polled.value, readingMs, signal);
      return;
    }
    this.#uncertain.recordReport(sentAtSteadyMs);
    this.#ackedPosition = Math.max(this.#ackedPosition, ackPosition);
    await this.#applyReport(polled.value, sentAtMs, signal);
  }

  // The second answer to an earlier request may arrive on the connection of this
  // one. What has started since is not in it, and further answers would be off by
  // one as well.
  async #dropRepeated(
    { clockMs }: RunnerReport,
    readingMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { client, clock, logger } = this.#options;
    logger.warn(
      { runnerId: this.#runner.runnerId, clockMs, readingMs },
      "a poll got an answer from before it was sent; connecting anew",
    );
    client.disconnect(this.#runner);
    await clock.sleep(REQUEST_RETRY_MS, signal);
  }

  // Another incarnation may answer, with other ended runs at the same
  // positions. It must not delete them before a poll has shown its start time.
  #chooseAckPosition(): number {
    const isNew = this.#recordedPosition > this.#ackedPosition;
    return isNew && this.status.isAnswering ? this.#recordedPosition : 0;
  }

  async #applyReport(
    report: RunnerReport,
    sentAtMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock } = this.#options;
    this.#lease.observe(report.clockMs);
    this.status.recordReport(report);
    this.#runs.recordReport(report, sentAtMs);
    const operations = [
      ...this.#ends.listReported(report.ended),
      ...this.#ends.listLost(
        report,
        this.#runs.listConfirmedBefore(sentAtMs),
      ),
    ];
    if (operations.length > 0 && !await this.#record(operations, signal)) {
      return;
    }
    const positions = report.ended.map(({ position }) => position);
    this.#recordedPosition = Math.max(this.#recordedPosition, ...positions);
    if (!this.status.isSynced) {
      this.status.isSynced = true;
      this.#options.loadChanged.notify();
      this.#options.changed.notify();
    }
    const isIdle = operations.length === 0 && report.running.length > 0;
    // Without a pause, each of several ends in a row would need its own poll.
    await clock.sleep(isIdle ? 1 : END_BATCH_MS, signal);
  }

  async #record(
    operations: readonly SchedulingOperation[],
    signal: AbortSignal,
  ): Promise<boolean> {
    const { clock, log, logger } = this.#options;
    const proposed = await log.propose(operations);
    if (proposed.isErr) {
      logger.warn(
        { runnerId: this.#runner.runnerId, failure: proposed.error },
        "failed to record ended runs; the next poll reports them again",
      );
      await clock.sleep(PROPOSE_RETRY_MS, signal);
    }
    return proposed.isOk;
  }

  async #handleFailure(
    failure: RunnerFailure,
    sentAtMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, logger } = this.#options;
    const evidence = this.#requests.describeRequest(sentAtMs);
    logger.warn(
      { runnerId: this.#runner.runnerId, failure, ...evidence },
      "a look at a runner failed",
    );
    if (failure.refusal === "staleFence") {
      this.#isFenced = true;
      return;
    }
    const step = this.#failures.record(failure, {
      runCount: this.#load.running.size,
      hasOrphans: this.#runs.hasOrphans,
      leaseLeftMs: this.#leaseLeftMs,
    });
    if (this.#remover.isDecided) {
      return;
    }
    if ("removal" in step) {
      await this.#remover.giveUp(step.removal, failure, signal);
    } else {
      await clock.sleep(step.pauseMs, signal);
    }
  }
}
