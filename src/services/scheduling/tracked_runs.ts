/** How far the leader has come with the runs that the log places on a runner. */
import type {
  RunFault,
  RunnerBounds,
  RunnerLoad,
  RunningTask,
} from "../../domain/index.ts";
import type { RunnerReport } from "../../ports/index.ts";
import { formatRun } from "./run_name.ts";
import type { RunnerStatus } from "./runner_status.ts";
import { STOP_MARGIN_MS } from "./timing.ts";

interface TrackedRun {
  /**
   * `starting` until the runner confirms the start, then `running`; `closing`
   * until the runner confirms the stop, then `closed`. A closed run can no
   * longer start.
   */
  readonly state: "starting" | "running" | "closing" | "closed";
  /**
   * Monotonic time at which the runner confirmed the state (ms); a poll that is
   * sent later must report the run.
   */
  readonly confirmedAtMs: number;
  /**
   * Monotonic time at which a start counted as unanswered (ms), until a poll
   * that was sent later shows whether it was carried out.
   */
  readonly unansweredAtMs?: number;
}

/** Options of {@link TrackedRuns}. */
export interface TrackedRunsOptions {
  readonly status: RunnerStatus;
  readonly bounds: RunnerBounds;
  readonly findLoad: () => RunnerLoad;
}

/** The runs on one runner by name, with the state of their requests. */
export class TrackedRuns {
  readonly #options: TrackedRunsOptions;
  readonly #runs = new Map<string, TrackedRun>();
  /** Why the end of a run will speak against the runner. */
  readonly #faults = new Map<string, RunFault>();

  constructor(options: TrackedRunsOptions) {
    this.#options = options;
  }

  /**
   * Whether a poll has yet to report the end of a run, or whether a start that
   * got no answer was carried out.
   */
  get awaitsReport(): boolean {
    return [...this.#runs.values()].some(({ state, unansweredAtMs }) =>
      state === "closing" || state === "closed" || unansweredAtMs !== undefined
    );
  }

  /** Records why the end of a run will speak against the runner. */
  recordFault(key: string, fault: RunFault): void {
    this.#faults.set(key, fault);
    if (fault === "refused") {
      this.#options.status.refusedRuns.add(key);
    }
  }

  /** Returns why the end of a run speaks against the runner, if it does. */
  findFault(key: string): RunFault | undefined {
    return this.#faults.get(key);
  }

  /** Returns the state of a run; undefined before its first request. */
  findState(key: string): TrackedRun["state"] | undefined {
    return this.#runs.get(key)?.state;
  }

  /** Records that a start or a stop of a run is to be sent. */
  begin(key: string, state: "starting" | "closing"): void {
    this.#runs.set(key, { state, confirmedAtMs: Infinity });
  }

  /**
   * Records that the runner has confirmed a start or a stop. A start that is
   * confirmed after the decision to stop the run changes nothing.
   *
   * @param key - Name of the run.
   * @param state - What the runner has confirmed.
   * @param atMs - Monotonic time of the confirmation (ms).
   */
  confirm(key: string, state: "running" | "closed", atMs: number): void {
    const known = this.#runs.get(key)?.state;
    const isDecided = known === "closing" || known === "closed" ||
      known === state;
    if (state === "running" && isDecided) {
      return;
    }
    this.#runs.set(key, { state, confirmedAtMs: atMs });
    // The next leader may send the start of a closed run again.
    if (state === "running") {
      this.#options.status.confirmedRuns.add(key);
    }
  }

  /**
   * Records that a poll reported a run as running. A closed run should have
   * ended within the time of a stop; if it has not, the answer that closed it was
   * that to another request.
   *
   * @param key - Name of the run.
   * @param sentAtMs - Monotonic time at which the poll was sent (ms).
   * @param atMs - Monotonic time of the report (ms).
   * @returns Whether a closed run counts as running again.
   */
  recordRunning(key: string, sentAtMs: number, atMs: number): boolean {
    const known = this.#runs.get(key);
    const isReopened = known?.state === "closed" &&
      sentAtMs - known.confirmedAtMs >
        this.#options.bounds.stopMs + STOP_MARGIN_MS;
    if (isReopened) {
      this.#runs.delete(key);
    }
    this.confirm(key, "running", atMs);
    return isReopened;
  }

  /**
   * Records that a start got no answer.
   *
   * @param key - Name of the run.
   * @param atMs - Monotonic time of now (ms).
   */
  recordUnanswered(key: string, atMs: number): void {
    this.#runs.set(key, {
      state: "starting",
      confirmedAtMs: Infinity,
      unansweredAtMs: atMs,
    });
  }

  /** Whether no report has yet shown what became of an unanswered start. */
  isUnanswered(key: string): boolean {
    return this.#runs.get(key)?.unansweredAtMs !== undefined;
  }

  /**
   * Records which unanswered starts a report does not list. A run that it lists
   * as ended waits until the log has its end.
   *
   * @param report - The report; the runs that it lists as running are confirmed.
   * @param sentAtMs - Monotonic time at which the poll was sent (ms).
   */
  settleUnanswered({ ended }: RunnerReport, sentAtMs: number): void {
    const endedKeys = new Set(ended.map(formatRun));
    for (const [key, { unansweredAtMs = Infinity }] of this.#runs) {
      if (unansweredAtMs <= sentAtMs && !endedKeys.has(key)) {
        this.begin(key, "starting");
      }
    }
  }

  /**
   * Lists the runs that a poll must report.
   *
   * @param sentAtMs - Monotonic time at which the poll was sent (ms).
   * @returns Runs that were confirmed as running or closed before that time.
   */
  listConfirmedBefore(sentAtMs: number): RunningTask[] {
    const placed = [...this.#options.findLoad().running.values()];
    return placed.filter((run) => {
      const tracked = this.#runs.get(formatRun({ task: run.id, ...run }));
      const isSettled = tracked?.state === "running" ||
        tracked?.state === "closed";
      return isSettled && tracked.confirmedAtMs < sentAtMs;
    });
  }

  /** Forgets the runs that the log no longer places on the runner. */
  retain(wanted: ReadonlySet<string>): void {
    for (const key of this.#runs.keys()) {
      if (!wanted.has(key)) {
        this.#runs.delete(key);
        this.#faults.delete(key);
        this.#options.status.confirmedRuns.delete(key);
        this.#options.status.refusedRuns.delete(key);
      }
    }
  }
}
