/**
 * Learns sizes and run times of work from reported usage; none are declared.
 */
import type { PlatformTask, PlatformVm } from "../../ports/index.ts";

const SAMPLE_COUNT = 200;
const MAX_WORKLOAD_COUNT = 2_000;
const MIN_SAMPLE_COUNT = 5;
const SIZE_QUANTILE = 0.9;

/** Learned size and run time of the work of one team on one queue. */
export interface LearnedSize {
  readonly sampleCount: number;
  readonly coreCount: number;
  readonly memoryMb: number;
  /** Run time, in milliseconds; undefined until a task has ended. */
  readonly runMs: number | undefined;
}

interface Workload {
  readonly coreCounts: number[];
  readonly memoryMbs: number[];
  readonly runMs: number[];
}

/** Learns sizes and run times as quantiles, for each team and queue. */
export class UsageLearner {
  readonly #workloads = new Map<string, Workload>();
  #running = new Map<string, PlatformTask>();

  /**
   * Records a report of usage.
   *
   * For a running task, a report has only the time that it has run so far.
   * Therefore the run time is learned once the task is no longer listed.
   *
   * @param tasks - All running tasks of the report.
   */
  record(tasks: readonly PlatformTask[]): void {
    const running = new Map(tasks.map((task) => [task.taskId, task]));
    for (const task of tasks) {
      const workload = this.#findOrCreate(task);
      addSample(workload.coreCounts, task.usedCores);
      addSample(workload.memoryMbs, task.usedMemoryMb);
    }
    for (const [taskId, task] of this.#running) {
      if (!running.has(taskId)) {
        addSample(this.#findOrCreate(task).runMs, task.runMs);
      }
    }
    this.#running = running;
  }

  /**
   * Finds the size of the work of a team on a queue.
   *
   * @param team - Name of the team.
   * @param queue - Name of the queue.
   * @returns The 90th percentiles, or undefined before enough reports.
   */
  findSize(team: string, queue: string): LearnedSize | undefined {
    const workload = this.#workloads.get(`${team} ${queue}`);
    const sampleCount = workload?.coreCounts.length ?? 0;
    if (workload === undefined || sampleCount < MIN_SAMPLE_COUNT) {
      return undefined;
    }
    return {
      sampleCount,
      coreCount: findQuantile(workload.coreCounts, SIZE_QUANTILE) ?? 0,
      memoryMb: findQuantile(workload.memoryMbs, SIZE_QUANTILE) ?? 0,
      runMs: findQuantile(workload.runMs, SIZE_QUANTILE),
    };
  }

  #findOrCreate({ team, queue }: PlatformTask): Workload {
    const key = `${team} ${queue}`;
    const known = this.#workloads.get(key);
    if (known !== undefined) {
      return known;
    }
    const [oldest] = this.#workloads.keys();
    if (this.#workloads.size >= MAX_WORKLOAD_COUNT && oldest !== undefined) {
      this.#workloads.delete(oldest);
    }
    const workload = { coreCounts: [], memoryMbs: [], runMs: [] };
    this.#workloads.set(key, workload);
    return workload;
  }
}

/**
 * Tells whether work can ever run on some VM.
 *
 * @param size - Learned size of the work.
 * @param vms - VMs that may run it. A VM without reported capacity counts as
 * large enough.
 * @returns False when the work is larger than every VM.
 */
export function canEverRun(
  size: LearnedSize,
  vms: readonly PlatformVm[],
): boolean {
  return vms.some(({ coreCount = Infinity, memoryMb = Infinity }) =>
    size.coreCount <= coreCount && size.memoryMb <= memoryMb
  );
}

/**
 * Finds a quantile of values.
 *
 * @param values - Values in any order.
 * @param quantile - From 0 to 1.
 * @returns The smallest value that at least this share of the values does not
 * exceed, or undefined without values.
 */
export function findQuantile(
  values: readonly number[],
  quantile: number,
): number | undefined {
  const sorted = values.toSorted((left, right) => left - right);
  const index = Math.ceil(quantile * sorted.length) - 1;
  return sorted[Math.max(0, index)];
}

function addSample(samples: number[], sample: number): void {
  samples.push(sample);
  if (samples.length > SAMPLE_COUNT) {
    samples.shift();
  }
}
