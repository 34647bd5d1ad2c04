/** An in-memory backend server that records which attempts run on it. */
import type { Announcement } from "../domain/index.ts";
import type { Clock, Random } from "../ports/index.ts";

const ANNOUNCE_INTERVAL_MS = 500;
const PERCENT = 100;

/** An attempt as the backend server receives it. */
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
  /** Called right after an attempt has started. */
  readonly onStart?: (backend: RecordingBackend, attempt: FakeAttempt) => void;
}

/**
 * Runs attempts and announces itself periodically.
 *
 * Announcements can get lost or be delivered twice.
 */
export class RecordingBackend {
  readonly #options: RecordingBackendOptions;
  readonly #running = new Map<string, FakeAttempt>();
  readonly #countByTeam = new Map<string, number>();
  #sequence = 0;
  #stopped = false;
  /** Whether announcements say that the backend server is leaving. */
  isLeaving = false;
  /** Share of announcements that get lost, in percent. */
  lossPercent = 0;
  /** Share of announcements that are delivered a second time, in percent. */
  duplicatePercent = 0;
  /** Highest number of attempts that ran at the same time. */
  maxRunningCount = 0;
  /** Number of attempts started so far. */
  startedCount = 0;
  /** Total run time of all ended attempts, in milliseconds. */
  busyMs = 0;

  constructor(options: RecordingBackendOptions) {
    this.#options = options;
  }

  /** Content of the next announcement. */
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

  /** Counts the attempts that currently run for a team. */
  countRunning(team: string): number {
    return this.#countByTeam.get(team) ?? 0;
  }

  /** Stops sending announcements, as a failed VM does. */
  stop(): void {
    this.#stopped = true;
  }

  /** Runs an attempt until its work is done or its lease expires. */
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

  /** Sends an announcement at a fixed interval until it is stopped. */
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
