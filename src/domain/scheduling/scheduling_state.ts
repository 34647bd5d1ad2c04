/** The scheduling state, built by applying the commands of the log. */
import type { Catalog } from "./catalog.ts";
import { EMPTY_CATALOG } from "./catalog.ts";
import { EndedRunners } from "./ended_runners.ts";
import { JobTable } from "./job_table.ts";
import {
  isOutdatedRunner,
  isSameIncarnation,
  type Runner,
  type RunnerIncarnation,
} from "./runner.ts";
import type {
  SchedulingCommand,
  SchedulingOperation,
} from "./scheduling_command.ts";
import type { SchedulingItem, WaveRecord } from "./scheduling_item.ts";

/**
 * Observes one batch of changes: called right before the batch is applied.
 *
 * @returns A function that is called right after it was applied.
 */
export type BatchObserver = () => () => void;

/**
 * Catalog, zones that are out of service, runners, waves and jobs. Applying the
 * same commands yields the same state on every voter.
 */
export class SchedulingState {
  readonly jobs = new JobTable();
  #catalog: Catalog = EMPTY_CATALOG;
  readonly #zonesOut = new Set<string>();
  readonly #runners = new Map<string, Runner>();
  readonly #endedRunners = new EndedRunners();
  readonly #waves = new Map<number, WaveRecord>();
  readonly #observers = new WeakMap<SchedulingCommand, BatchObserver>();

  /** The catalog in force. */
  get catalog(): Catalog {
    return this.#catalog;
  }

  /** Zones that are out of service; no run may be started there. */
  get zonesOut(): ReadonlySet<string> {
    return this.#zonesOut;
  }

  /** Known runners by id, each with its newest incarnation. */
  get runners(): ReadonlyMap<string, Runner> {
    return this.#runners;
  }

  /**
   * Tells whether a runner incarnation has certainly ended. What it announced
   * before may still arrive.
   *
   * @param incarnation - Id and start time of the runner.
   * @returns False also where the end was recorded long ago.
   */
  hasEnded(incarnation: RunnerIncarnation): boolean {
    return this.#endedRunners.has(incarnation);
  }

  /**
   * Finds when the end of an earlier incarnation of a runner was recorded.
   *
   * @param runnerId - The runner.
   * @returns Wall-clock time of the leader (ms), or undefined if none ended
   * lately.
   */
  findEndedAtMs(runnerId: string): number | undefined {
    return this.#endedRunners.findEndedAtMs(runnerId);
  }

  /** Waves by id. */
  get waves(): ReadonlyMap<number, WaveRecord> {
    return this.#waves;
  }

  /**
   * Observes a batch of changes that has yet to be applied, by the identity of
   * the object. The observer is not called if the batch is never applied, or if
   * its effect arrives as part of a snapshot.
   *
   * @param command - The batch.
   * @param observer - Called when the batch is applied.
   */
  observe(command: SchedulingCommand, observer: BatchObserver): void {
    this.#observers.set(command, observer);
  }

  /** Applies a batch of changes, and forgets what ended long ago. */
  apply(command: SchedulingCommand): void {
    const { atMs, operations } = command;
    const finish = this.#observers.get(command)?.();
    for (const operation of operations) {
      this.#applyOne(operation, atMs);
    }
    this.jobs.prune(atMs);
    this.#endedRunners.prune(atMs);
    finish?.();
  }

  /** Copies the state into plain values for a snapshot. */
  toItems(): readonly SchedulingItem[] {
    return [
      { type: "catalog", catalog: this.#catalog },
      { type: "zonesOut", zones: [...this.#zonesOut] },
      ...[...this.#runners.values()].map((runner) => ({
        type: "runner" as const,
        runner,
      })),
      { type: "endedRunners", runners: this.#endedRunners.list() },
      ...[...this.#waves.values()].map((wave) => ({
        type: "wave" as const,
        wave,
      })),
      ...this.jobs.list().map((job) => ({
        type: "job" as const,
        job: job.toStored(),
      })),
      { type: "unconfirmed", starts: this.jobs.unconfirmed.list() },
      { type: "runnerEvidence", records: this.jobs.evidence.list() },
    ];
  }

  /** Builds the state from a snapshot. */
  static restore(items: readonly SchedulingItem[]): SchedulingState {
    const state = new SchedulingState();
    for (const item of items) {
      state.#restoreOne(item);
    }
    return state;
  }

  #restoreOne(item: SchedulingItem): void {
    switch (item.type) {
      case "catalog":
        this.#catalog = item.catalog;
        return;
      case "zonesOut":
        item.zones.forEach((zone) => this.#zonesOut.add(zone));
        return;
      case "runner":
        this.#runners.set(item.runner.runnerId, item.runner);
        return;
      case "endedRunners":
        this.#endedRunners.restore(item.runners);
        return;
      case "wave":
        this.#waves.set(item.wave.waveId, item.wave);
        return;
      case "job":
        this.jobs.restore(item.job);
        return;
      case "unconfirmed":
        item.starts.forEach((start) => this.jobs.unconfirmed.add(start));
        return;
      case "runnerEvidence":
        this.jobs.evidence.restore(item.records);
        return;
    }
  }

  #applyOne(operation: SchedulingOperation, atMs: number): void {
    switch (operation.type) {
      case "accept":
        this.jobs.accept(operation, atMs);
        return;
      case "cancel":
        this.jobs.cancel(operation.jobId, atMs);
        return;
      case "start":
        this.#start(operation, atMs);
        return;
      case "end":
        this.jobs.end(operation, atMs);
        return;
      case "confirm":
        this.jobs.confirm(operation);
        return;
      case "runner":
        this.#putRunner(operation.runner, atMs);
        return;
      case "runnerGone":
        this.#removeRunner(operation, atMs);
        return;
      case "catalog":
        if (operation.catalog.version > this.#catalog.version) {
          this.#catalog = operation.catalog;
        }
        return;
      case "zone":
        if (operation.isOut) {
          this.#zonesOut.add(operation.zone);
        } else {
          this.#zonesOut.delete(operation.zone);
        }
        return;
      case "wave":
        this.#putWave(operation);
        return;
      case "upkeep":
        this.#recordMaintenance(operation);
        return;
    }
  }

  // A start may have been planned before the runner incarnation ended; it must
  // not be recorded for a later incarnation.
  #start(
    operation: Extract<SchedulingOperation, { type: "start" }>,
    atMs: number,
  ): void {
    const runner = this.#runners.get(operation.runnerId);
    if (runner?.bornAtMs === operation.bornAtMs) {
      this.jobs.start(operation, atMs);
    }
  }

  // A runner that restarts has lost the runs of its previous incarnation.
  #putRunner(runner: Runner, atMs: number): void {
    const known = this.#runners.get(runner.runnerId);
    const isOutdated = this.hasEnded(runner) ||
      (known !== undefined && isOutdatedRunner(runner, known));
    if (isOutdated) {
      return;
    }
    if (known !== undefined && known.bornAtMs < runner.bornAtMs) {
      this.jobs.endIncarnation(known, atMs);
      this.#endedRunners.add(known, atMs);
    }
    this.#runners.set(runner.runnerId, runner);
  }

  #removeRunner(
    incarnation: Extract<SchedulingOperation, { type: "runnerGone" }>,
    atMs: number,
  ): void {
    this.jobs.endIncarnation(incarnation, atMs);
    if (incarnation.fate === "ended") {
      this.#endedRunners.add(incarnation, atMs);
    } else if (incarnation.fate === "earlierAnswers") {
      this.#endedRunners.delete(incarnation.runnerId);
    }
    const known = this.#runners.get(incarnation.runnerId);
    if (known !== undefined && isSameIncarnation(known, incarnation)) {
      this.#runners.delete(incarnation.runnerId);
    }
  }

  #putWave(
    operation: Extract<SchedulingOperation, { type: "wave" }>,
  ): void {
    const { type: _, ...wave } = operation;
    if (!this.#waves.has(wave.waveId)) {
      this.#waves.set(wave.waveId, { ...wave, progress: {} });
    }
  }

  #recordMaintenance(
    { waveId, vm, state }: Extract<SchedulingOperation, { type: "upkeep" }>,
  ): void {
    const wave = this.#waves.get(waveId);
    if (wave !== undefined && wave.progress[vm] !== "done") {
      const progress = { ...wave.progress, [vm]: state };
      this.#waves.set(waveId, { ...wave, progress });
    }
  }
}
