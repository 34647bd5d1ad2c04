/** Permits that this entry holds, and those that it returns. */
import { createTeamQueueKey } from "./waiting_requests.ts";
import type {
  HeldPermit,
  PermitGrant,
  ReturnedPermit,
} from "./permit_messages.ts";

/** A permit that this entry holds. */
export interface Holding {
  readonly grant: PermitGrant;
  /** Local monotonic time at which the grant arrived. */
  readonly arrivedAtMs: number;
  /** Number of attempts under the permit so far. */
  attemptCount: number;
  /** Whether the permit is available for the next request. */
  isIdle: boolean;
}

/** Tracks permits until the coordinator has confirmed their return. */
export class PermitHoldings {
  readonly #holdings = new Map<string, Holding>();
  readonly #idleByKey = new Map<string, Set<Holding>>();
  readonly #countByBackend = new Map<string, number>();
  #returns: ReturnedPermit[] = [];
  #returnCount = 0;

  /** Number of permits held. */
  get size(): number {
    return this.#holdings.size;
  }

  /** Whether there are returns that the coordinator has not confirmed. */
  get hasUnconfirmedReturns(): boolean {
    return this.#returns.length > 0;
  }

  /** Returns that the coordinator has not confirmed. */
  get returns(): readonly ReturnedPermit[] {
    return this.#returns;
  }

  /** Counts the held permits for a backend server. */
  countBackend(backendServerId: string): number {
    return this.#countByBackend.get(backendServerId) ?? 0;
  }

  /** Adds a permit that has just arrived. */
  add(grant: PermitGrant, nowMs: number): Holding {
    const holding = {
      grant,
      arrivedAtMs: nowMs,
      attemptCount: 0,
      isIdle: false,
    };
    this.#holdings.set(grant.permitId, holding);
    this.#count(grant.backendServerId, 1);
    return holding;
  }

  /** Makes a permit available for the next request of its team and queue. */
  markIdle(holding: Holding): void {
    const key = createTeamQueueKey(holding.grant.team, holding.grant.queue);
    const idle = this.#idleByKey.get(key) ?? new Set();
    this.#idleByKey.set(key, idle.add(holding));
    holding.isIdle = true;
  }

  /** Removes a permit from the idle ones. */
  markBusy(holding: Holding): void {
    const key = createTeamQueueKey(holding.grant.team, holding.grant.queue);
    const idle = this.#idleByKey.get(key);
    idle?.delete(holding);
    if (idle?.size === 0) {
      this.#idleByKey.delete(key);
    }
    holding.isIdle = false;
  }

  /** Lists the idle permits for a team and a queue. */
  listIdle(team: string, queue: string): Holding[] {
    return [...this.#idleByKey.get(createTeamQueueKey(team, queue)) ?? []];
  }

  /** Lists all idle permits. */
  listAllIdle(): Holding[] {
    return [...this.#holdings.values()].filter(({ isIdle }) => isIdle);
  }

  /**
   * Returns a permit to the coordinator with the next report.
   *
   * @param holding - The permit.
   * @param ended - False when its last attempt may still run.
   */
  returnPermit(holding: Holding, ended: boolean): void {
    this.markBusy(holding);
    this.#holdings.delete(holding.grant.permitId);
    this.#count(holding.grant.backendServerId, -1);
    this.#returnCount += 1;
    this.#returns.push({
      ...describeHeld(holding),
      returnNumber: this.#returnCount,
      ended,
      attemptCount: holding.attemptCount,
    });
  }

  /** Drops the returns that the coordinator has confirmed. */
  confirmReturns(acknowledgedReturn: number): void {
    this.#returns = this.#returns.filter(({ returnNumber }) =>
      returnNumber > acknowledgedReturn
    );
  }

  /** Lists all held permits, for a report that opens a session. */
  listHeld(): HeldPermit[] {
    return [...this.#holdings.values()].map(describeHeld);
  }

  #count(backendServerId: string, delta: number): void {
    const count = this.countBackend(backendServerId) + delta;
    if (count === 0) {
      this.#countByBackend.delete(backendServerId);
    } else {
      this.#countByBackend.set(backendServerId, count);
    }
  }
}

function describeHeld({ grant }: Holding): HeldPermit {
  return {
    permitId: grant.permitId,
    team: grant.team,
    queue: grant.queue,
    pool: grant.pool,
    backendServerId: grant.backendServerId,
    runLeaseMs: grant.runLeaseMs,
  };
}
