/** What the coordinator keeps of one entry while its lease holds. */
import { Notifier } from "../../tasks/index.ts";
import type {
  PermitGrant,
  PermitReport,
  PermitWant,
} from "./permit_messages.ts";
import { PERMIT_LEASE_MS, REPORT_INTERVAL_MS } from "./permit_times.ts";

const SILENT_INTERVAL_COUNT = 2;

/** Requests of one team and queue that wait on one entry. */
export interface EntryWant {
  readonly session: EntrySession;
  readonly team: string;
  readonly queue: string;
  readonly excludedBackendIds: readonly string[];
  /** Requests that have no grant yet. */
  count: number;
  /** Estimated monotonic time since when the longest of them has waited. */
  oldestAtMs: number;
  /** Last round of grants in which nothing could be had for it. */
  blockedRound: number;
}

/** Options of {@link EntrySession}. */
export interface EntrySessionOptions {
  readonly entryId: string;
  readonly sessionId: string;
  readonly runStartedAtMs: number;
  readonly openedAtMs: number;
}

/** One run of an entry, from a full report until its lease lapses. */
export class EntrySession {
  readonly entryId: string;
  readonly sessionId: string;
  readonly runStartedAtMs: number;
  readonly openedAtMs: number;
  /** Wakes when there are grants to hand over. */
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

  /** Number that the next grant gets. */
  get nextGrantNumber(): number {
    return this.#grantCount + 1;
  }

  /** Grants that the entry has not confirmed. */
  get outbox(): readonly PermitGrant[] {
    return this.#outbox;
  }

  /** Monotonic time at which the entry's lease lapses at the latest. */
  get leaseUntilMs(): number {
    return this.lastReportAtMs + PERMIT_LEASE_MS;
  }

  /** Tells whether the entry reports often enough to be worth a grant. */
  isResponsive(nowMs: number): boolean {
    const silentMs = nowMs - this.lastReportAtMs;
    return silentMs <= SILENT_INTERVAL_COUNT * REPORT_INTERVAL_MS;
  }

  /** Adds a grant for the entry. */
  addGrant(grant: PermitGrant): void {
    this.#grantCount = grant.grantNumber;
    this.#outbox.push(grant);
    this.granted.notify();
  }

  /** Drops the grants that the entry has confirmed. */
  confirmGrants(acknowledgedGrant: number): void {
    this.#outbox = this.#outbox.filter(({ grantNumber }) =>
      grantNumber > acknowledgedGrant
    );
  }

  /** Whether there are grants that no message has carried yet. */
  get hasUndelivered(): boolean {
    const last = this.#outbox.at(-1);
    return last !== undefined && last.grantNumber > this.#deliveredNumber;
  }

  /** Notes that a message has carried all grants so far. */
  markDelivered(): void {
    this.#deliveredNumber = this.#grantCount;
  }

  /** Notes that the last message may be lost; all is sent again. */
  markLost(): void {
    this.#deliveredNumber = 0;
  }

  /**
   * Replaces the wants by those of a report.
   *
   * @param report - The newest report of the entry.
   * @param nowMs - Monotonic time.
   */
  replaceWants(report: PermitReport, nowMs: number): void {
    const unseen = [...this.#outbox];
    this.wants = report.wants.map((want) => ({
      session: this,
      team: want.team,
      queue: want.queue,
      excludedBackendIds: want.excludedBackendIds,
      // Grants on their way serve requests that the report still counts.
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
