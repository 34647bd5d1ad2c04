/** A backend server in memory that records what truly runs on it. */
import type { Announcement } from "../domain/index.ts";
import type { Clock, Random } from "../ports/index.ts";

const ANNOUNCE_INTERVAL_MS = 500;
const PERCENT = 100;

/** An attempt as the backend server sees it. */
export interface FakeAttempt {
  readonly attemptId: string;
  readonly team: string;
  readonly workMs: number;
  readonly leaseMs: number;
}

/** Options of {@link RecordingBackend}. */
export interface RecordingBackendOptions {
  readonly backendServerId: string;
  readonly vm: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly slotCount?: number;
  readonly connectionCount?: number;
  /** Called when an attempt has just started. */
  readonly onStart?: (backend: RecordingBackend, attempt: FakeAttempt) => void;
}

/** Runs what it is sent, and announces itself with faults. */
export class RecordingBackend {
  readonly #options: RecordingBackendOptions;
  readonly #running = new Map<string, FakeAttempt>();
  readonly #countByTeam = new Map<string, number>();
  #sequence = 0;
  #stopped = false;
  isLeaving = false;
  lossPercent = 0;
  duplicatePercent = 0;
  /** Most attempts that ever ran at once. */
  maxRunningCount = 0;
  /** Attempts started so far. */
  startedCount = 0;
  /** Time that attempts have run so far, in milliseconds. */
  busyMs = 0;

  constructor(options: RecordingBackendOptions) {
    this.#options = options;
  }

  /** What the next announcement says. */
  get announcement(): Announcement {
    const { backendServerId, vm, slotCount = 8, connectionCount = 64 } =
      this.#options;
    return {
      backendServerId,
      sequence: this.#sequence,
      vm,
      host: "127.0.0.1",
      port: 1,
      slotCount,
      connectionCount,
      leaving: this.isLeaving,
      running: [...this.#running.values()].map(({ attemptId, team }) => ({
        attemptId,
        team,
      })),
    };
  }

  /** Counts the attempts that run for a team. */
  countRunning(team: string): number {
    return this.#countByTeam.get(team) ?? 0;
  }

  /** Stops announcing and running, as a lost VM does. */
  stop(): void {
    this.#stopped = true;
  }

  /** Runs an attempt until its work or its lease ends. */
  async run(attempt: FakeAttempt): Promise<void> {
    const { clock, onStart } = this.#options;
    const runMs = Math.min(attempt.workMs, attempt.leaseMs);
    this.#running.set(attempt.attemptId, attempt);
    this.#countByTeam.set(attempt.team, this.countRunning(attempt.team) + 1);
    this.maxRunningCount = Math.max(this.maxRunningCount, this.#running.size);
    this.startedCount += 1;
    onStart?.(this, attempt);
    await clock.sleep(runMs);
    this.busyMs += runMs;
    this.#running.delete(attempt.attemptId);
    this.#countByTeam.set(attempt.team, this.countRunning(attempt.team) - 1);
  }

  /** Announces itself until it is stopped. */
  async announceForever(
    deliver: (announcement: Announcement) => void,
  ): Promise<void> {
    const { clock, random } = this.#options;
    await clock.sleep(random.nextInt(ANNOUNCE_INTERVAL_MS));
    while (!this.#stopped) {
      this.#sequence += 1;
      const { announcement } = this;
      if (random.nextInt(PERCENT) >= this.lossPercent) {
        deliver(announcement);
      }
      if (random.nextInt(PERCENT) < this.duplicatePercent) {
        void clock.sleep(random.nextInt(ANNOUNCE_INTERVAL_MS)).then(() =>
          deliver(announcement)
        );
      }
      await clock.sleep(ANNOUNCE_INTERVAL_MS);
    }
  }
}
