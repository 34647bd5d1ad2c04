/** Task of the leader that carries out maintenance waves. */
import type { Runner, RunningTask, WaveRecord } from "../../domain/index.ts";
import { formatTaskId } from "../../domain/index.ts";
import {
  type MaintenanceCandidate,
  type MaintenancePolicy,
  StepAvailability,
} from "../../decisions/index.ts";
import type { Clock, ListedVm, Logger, VmControl } from "../../ports/index.ts";
import { type Notifier, waitFor } from "../../tasks/index.ts";
import { formatRun } from "./run_name.ts";
import type { RunnerFleet } from "./runner_fleet.ts";
import type { SchedulingLog } from "./scheduling_log.ts";
import { WAVE_TICK_MS } from "./timing.ts";

/** Options of {@link WaveTask}. */
export interface WaveTaskOptions {
  readonly log: SchedulingLog;
  readonly fleet: RunnerFleet;
  readonly vms: VmControl;
  readonly policy: MaintenancePolicy;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly changed: Notifier;
  /** Identifies this leader in its requests about VMs. */
  readonly holderId: string;
  readonly fencingToken: number;
}

/**
 * Longest pause without an open wave, in milliseconds; a change ends it early.
 */
const IDLE_WAIT_MS = 1_000;

/**
 * Drains VMs, begins their maintenance within budgets and records the progress.
 */
export class WaveTask {
  readonly #options: WaveTaskOptions;
  readonly #availability: StepAvailability;
  /**
   * Monotonic time (ms) at which maintenance was confirmed in this term, by VM.
   */
  readonly #begunAtMsByVm = new Map<string, number>();
  /**
   * Evicted runs, which count as unavailable although they may still be
   * reported.
   */
  readonly #evicted = new Set<string>();
  /**
   * Monotonic time (ms) of the newest request for maintenance that an earlier
   * leader may have made before, by runner id. Whether it ended the runs there
   * shows only in a later answer of the runner.
   */
  readonly #repeatedAtMsByRunner = new Map<string, number>();
  /** VMs whose request this leader has logged and not sent yet. */
  readonly #unsentVms = new Set<string>();
  #cordonedRunnerIds: ReadonlySet<string> = new Set();

  constructor(options: WaveTaskOptions) {
    this.#options = options;
    const { log } = options;
    this.#availability = new StepAvailability({
      jobs: log.state.jobs,
      findPercent: (run) => this.#findPercent(run),
    });
  }

  /**
   * Returns whether a runner gets no work because its VM is about to be
   * maintained.
   */
  isCordoned(runner: Runner): boolean {
    return this.#cordonedRunnerIds.has(runner.runnerId);
  }

  /**
   * Carries out waves until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { changed, clock } = this.#options;
    while (!signal.aborted) {
      if (this.#listOpen().length === 0) {
        this.#cordonedRunnerIds = new Set();
        await waitFor({
          clock,
          notifier: changed,
          timeoutMs: IDLE_WAIT_MS,
          signal,
          isMet: () => this.#listOpen().length > 0,
        });
        continue;
      }
      await this.#advance();
      await clock.sleep(WAVE_TICK_MS, signal);
    }
  }

  #findPercent(run: RunningTask): number {
    const { fleet } = this.#options;
    const status = fleet.findStatus(run.life);
    const isEvicted = this.#evicted.has(formatRun({ task: run.id, ...run }));
    const repeatedAtMs = this.#repeatedAtMsByRunner.get(run.life.runnerId) ??
      -Infinity;
    return status === undefined || isEvicted ||
        status.answeredAtMs <= repeatedAtMs
      ? 0
      : status.findPercent(formatTaskId(run.id));
  }

  #listOpen(): WaveRecord[] {
    const { log } = this.#options;
    return [...log.state.waves.values()].filter(({ vms, progress }) =>
      vms.some((vm) => progress[vm] !== "done")
    );
  }

  async #advance(): Promise<void> {
    const { clock, log, logger, vms } = this.#options;
    if (!log.holdsLeaderLease) {
      return;
    }
    const requestedAtMs = clock.monotonicMs();
    const listed = await vms.list();
    if (listed.isErr) {
      logger.warn({ failure: listed.error }, "the VMs could not be listed");
      return;
    }
    const byName = new Map(listed.value.map((vm) => [vm.vm, vm]));
    const cordoned = new Set<string>();
    for (const wave of this.#listOpen()) {
      await this.#recordDone(wave, byName, requestedAtMs);
      await this.#advanceWave(wave.waveId, byName, cordoned);
    }
    this.#cordonedRunnerIds = cordoned;
  }

  // A VM that the platform no longer lists cannot be maintained any more, so its
  // maintenance counts as done.
  async #recordDone(
    wave: WaveRecord,
    byName: ReadonlyMap<string, ListedVm>,
    requestedAtMs: number,
  ): Promise<void> {
    const { log } = this.#options;
    const done = wave.vms.filter((vm) => {
      const begunAtMs = this.#begunAtMsByVm.get(vm) ?? Infinity;
      const isBack = byName.get(vm)?.state === "up" &&
        begunAtMs < requestedAtMs;
      return wave.progress[vm] !== "done" && (isBack || !byName.has(vm));
    });
    if (done.length > 0) {
      await log.propose(done.map((vm) => ({
        type: "upkeep",
        waveId: wave.waveId,
        vm,
        state: "done",
      })));
    }
  }

  async #advanceWave(
    waveId: number,
    byName: ReadonlyMap<string, ListedVm>,
    cordoned: Set<string>,
  ): Promise<void> {
    const { clock, log, policy } = this.#options;
    const wave = log.state.waves.get(waveId);
    if (wave === undefined) {
      return;
    }
    const unavailable = wave.vms.filter((vm) =>
      wave.progress[vm] === "ordered"
    );
    const candidates = wave.vms
      .filter((vm) => wave.progress[vm] === undefined)
      .map((vm) => byName.get(vm))
      .filter((listed) => listed?.state === "up")
      .map((listed) => this.#createCandidate(listed));
    const plan = policy.plan({
      candidates,
      allowedStartCount: Math.max(0, wave.maxAwayCount - unavailable.length),
      leftMs: wave.completeByMs - clock.nowMs(),
      maxAwayCount: wave.maxAwayCount,
    });
    for (const vm of plan.cordon) {
      cordoned.add(byName.get(vm)?.runnerId ?? "");
    }
    for (const vm of plan.evacuate) {
      this.#evictOne(wave.waveId, vm, byName.get(vm)?.runnerId);
    }
    const unconfirmed = unavailable.filter((vm) =>
      !this.#begunAtMsByVm.has(vm)
    );
    for (const vm of [...unconfirmed, ...plan.begin]) {
      await this.#beginMaintenance(wave, vm, byName.get(vm)?.runnerId);
    }
  }

  #createCandidate(listed: ListedVm | undefined): MaintenanceCandidate {
    const running = this.#listRunning(listed?.runnerId);
    return {
      vm: listed?.vm ?? "",
      running,
      isProtected: !this.#availability.mayStop(running),
      guardedSteps: running
        .filter(({ step }) => step.isEndless && step.maxAwayCount !== undefined)
        .map(({ id }) => `${id.jobId}.${id.occurrence}.${id.step}`),
    };
  }

  #listRunning(runnerId: string | undefined): RunningTask[] {
    const { log } = this.#options;
    const runner = runnerId === undefined
      ? undefined
      : log.state.runners.get(runnerId);
    return runner === undefined
      ? []
      : [...log.state.jobs.findLoad(runner).running.values()];
  }

  // Evicts one task at a time: each counts as unavailable until it is back at
  // 100 %.
  #evictOne(waveId: number, vm: string, runnerId: string | undefined): void {
    const { fleet, logger } = this.#options;
    const run = this.#listRunning(runnerId).find((candidate) =>
      candidate.step.isEndless && this.#availability.mayStop([candidate])
    );
    if (run !== undefined) {
      const task = formatTaskId(run.id);
      logger.info({ waveId, vm, runnerId, task }, "moves an endless task away");
      this.#evicted.add(formatRun({ task: run.id, ...run }));
      fleet.evict(run);
    }
  }

  // The request is in the log before it is sent, so that the next leader counts
  // the VM as unavailable whatever the outcome of the call. A leader that finds
  // such a request may be the first to send it, so the limits hold for it too.
  async #beginMaintenance(
    wave: WaveRecord,
    vm: string,
    runnerId: string | undefined,
  ): Promise<void> {
    const { clock, fencingToken, fleet, holderId, log, logger, vms } =
      this.#options;
    const { waveId } = wave;
    const mayStop = () =>
      this.#availability.mayStop(this.#listRunning(runnerId));
    if (!mayStop()) {
      return;
    }
    if (wave.progress[vm] !== "ordered") {
      const proposed = await log.propose([
        { type: "upkeep", waveId, vm, state: "ordered" },
      ]);
      if (proposed.isErr) {
        return;
      }
      this.#unsentVms.add(vm);
    }
    // Other tasks of a step may have become unavailable meanwhile.
    if (!log.holdsLeaderLease || !mayStop()) {
      return;
    }
    const running = this.#listRunning(runnerId);
    const isFirst = this.#unsentVms.delete(vm);
    // By the time of the answer, the next incarnation may have taken its place.
    const runner = log.state.runners.get(runnerId ?? "");
    const source = { holderId, fencingToken };
    const begun = await vms.beginMaintenance(vm, waveId, source);
    if (!isFirst && runnerId !== undefined) {
      this.#repeatedAtMsByRunner.set(runnerId, clock.monotonicMs());
    }
    const fields = { waveId, vm, runnerId, runCount: running.length };
    if (begun.isErr) {
      logger.warn(
        { ...fields, failure: begun.error },
        "failed to begin the maintenance of a VM",
      );
      return;
    }
    logger.info(fields, "began the upkeep of a VM");
    this.#begunAtMsByVm.set(vm, clock.monotonicMs());
    if (runner !== undefined && isFirst) {
      fleet.retire(runner);
    }
  }
}
