/** The coordinator's state for one entry during its lease. */
import { Notifier } from "../../tasks/index.ts";
import type {
  PermitGrant,
  PermitReport,
  PermitWant,
} from "./permit_messages.ts";
import { PERMIT_LEASE_MS, REPORT_INTERVAL_MS } from "./permit_times.ts";

const RESPONSIVE_INTERVAL_COUNT = 2;

/**
 * Waiting requests of one team and queue on one entry that exclude the same
 * backend servers.
 */
export interface EntryWant {
  readonly session: EntrySession;
  readonly team: string;
  readonly queue: string;
  readonly excludedBackendIds: readonly string[];
  /** Number of requests without a grant. */
  count: number;
  /** Estimated steady time at which the oldest of them arrived. */
  oldestAtMs: number;
  /** Last grant round in which no slot was found for it. */
  blockedRound: number;
}

/** Options of {@link EntrySession}. */
export interface EntrySessionOptions {
  readonly entryId: string;
  readonly sessionId: string;
  readonly runStartedAtMs: number;
  readonly openedAtMs: number;
}

/** Session of one entry, from its opening report until its lease expires. */
export class EntrySession {
  readonly entryId: string;
  readonly sessionId: string;
  readonly runStartedAtMs: number;
  readonly openedAtMs: number;
  /** Wakes the task that sends grants. */
  readonly granted = new Notifier();
  lastSequence = -1;
  lastReportAtMs: number;
  acknowledgedReturn = 0;
  wants: readonly EntryWant[] = [];
  #outbox: PermitGrant[] = [];
  #grantCount = 0;
  #deliveredNumber = 0;

  constructor(options: EntrySessionOptions) {
    this.entryId = options.entryId;
    this.sessionId = options.sessionId;
    this.runStartedAtMs = options.runStartedAtMs;
    this.openedAtMs = options.openedAtMs;
    this.lastReportAtMs = options.openedAtMs;
  }

  /** Number of the next grant. */
  get nextGrantNumber(): number {
    return this.#grantCount + 1;
  }

  /** Grants that the entry has not confirmed. */
  get outbox(): readonly PermitGrant[] {
    return this.#outbox;
  }

  /** Latest steady time at which the entry's lease expires. */
  get leaseUntilMs(): number {
    return this.lastReportAtMs + PERMIT_LEASE_MS;
  }

  /** Returns whether the entry reported recently enough to get grants. */
  isResponsive(nowMs: number): boolean {
    const silentMs = nowMs - this.lastReportAtMs;
    return silentMs <= RESPONSIVE_INTERVAL_COUNT * REPORT_INTERVAL_MS;
  }

  /** Adds a grant for the entry. */
  addGrant(grant: PermitGrant): void {
    this.#grantCount = grant.grantNumber;
    this.#outbox.push(grant);
    this.granted.notify();
  }

  /** Removes the grants that the entry has confirmed. */
  confirmGrants(acknowledgedGrant: number): void {
    this.#outbox = this.#outbox.filter(({ grantNumber }) =>
      grantNumber > acknowledgedGrant
    );
  }

  /** Whether there are grants that no message has contained yet. */
  get hasUndelivered(): boolean {
    const last = this.#outbox.at(-1);
    return last !== undefined && last.grantNumber > this.#deliveredNumber;
  }

  /** Records that a message contains all unconfirmed grants. */
  markDelivered(): void {
    this.#deliveredNumber = this.#grantCount;
  }

  /** Records that a message may be lost: unconfirmed grants are sent again. */
  markLost(): void {
    this.#deliveredNumber = 0;
  }

  /**
   * Replaces the wants with those of a report.
   *
   * @param report - The newest report of the entry.
   * @param nowMs - Steady time.
   */
  replaceWants(report: PermitReport, nowMs: number): void {
    const unseen = [...this.#outbox];
    this.wants = report.wants.map((want) => ({
      session: this,
      team: want.team,
      queue: want.queue,
      excludedBackendIds: want.excludedBackendIds,
      // Grants in transit are for requests that the report still counts.
      count: want.count - takeMatching(unseen, want),
      oldestAtMs: nowMs - want.oldestWaitMs,
      blockedRound: -1,
    }));
  }
}

function takeMatching(unseen: PermitGrant[], want: PermitWant): number {
  let takenCount = 0;
  for (let at = unseen.length - 1; at >= 0; at -= 1) {
    const grant = unseen[at];
    const isMatch = grant !== undefined && grant.team === want.team &&
      grant.queue === want.queue && takenCount < want.count &&
      !want.excludedBackendIds.includes(grant.backendServerId);
    if (isMatch) {
      unseen.splice(at, 1);
      takenCount += 1;
    }
  }
  return takenCount;
}
