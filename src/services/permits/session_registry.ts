/** Sessions of all entries with one coordinator. */
import { EntrySession } from "./entry_session.ts";
import type { PermitReport } from "./permit_messages.ts";
import type { PermitTable } from "./permit_table.ts";

/** Options of {@link SessionRegistry}. */
export interface SessionRegistryOptions {
  readonly coordinatorId: string;
  readonly table: PermitTable;
  /** Called for each new session. */
  readonly onOpen: (session: EntrySession) => void;
  /** Called when a session has expired or was replaced. */
  readonly onClose: (session: EntrySession) => void;
}

/** Opens, finds and closes sessions, and updates the permits of entries. */
export class SessionRegistry {
  readonly #options: SessionRegistryOptions;
  readonly #sessions = new Map<string, EntrySession>();
  #sessionCount = 0;

  constructor(options: SessionRegistryOptions) {
    this.#options = options;
  }

  /** Finds the session of an entry. */
  find(entryId: string): EntrySession | undefined {
    return this.#sessions.get(entryId);
  }

  /**
   * Finds the session of a report, or opens one when the report names none.
   *
   * @param entryId - Entry that sent the report.
   * @param report - The report.
   * @param nowMs - Steady time.
   * @returns The session; undefined when the report's session has ended, so
   * that the entry must open a new one.
   */
  findOrOpen(
    entryId: string,
    report: PermitReport,
    nowMs: number,
  ): EntrySession | undefined {
    const known = this.#sessions.get(entryId);
    if (known !== undefined && isStaleReport(known, report)) {
      return known;
    }
    if (report.sessionId !== undefined) {
      return report.sessionId === known?.sessionId ? known : undefined;
    }
    return this.#open(entryId, report, nowMs);
  }

  /**
   * Closes the sessions whose leases have expired.
   *
   * @param nowMs - Steady time.
   */
  closeLapsed(nowMs: number): void {
    for (const session of [...this.#sessions.values()]) {
      if (session.leaseUntilMs < nowMs) {
        this.#close(session);
      }
    }
  }

  /** Wakes the tasks that send grants so that they end. */
  wakeAll(): void {
    for (const session of this.#sessions.values()) {
      session.granted.notify();
    }
  }

  #open(entryId: string, report: PermitReport, nowMs: number): EntrySession {
    const { coordinatorId, table, onOpen } = this.#options;
    const known = this.#sessions.get(entryId);
    if (known?.runStartedAtMs === report.runStartedAtMs) {
      this.#replace(known, report);
    } else if (known !== undefined) {
      this.#close(known);
    }
    this.#sessionCount += 1;
    const session = new EntrySession({
      entryId,
      sessionId: `${coordinatorId}/${this.#sessionCount}`,
      runStartedAtMs: report.runStartedAtMs,
      openedAtMs: nowMs,
    });
    for (const permit of report.held) {
      table.add(permit, entryId);
    }
    this.#sessions.set(entryId, session);
    onOpen(session);
    return session;
  }

  // Grants that the entry does not list never arrived. The entry ignores them
  // from now on because they belong to the replaced session.
  #replace(known: EntrySession, report: PermitReport): void {
    const { table, onClose } = this.#options;
    const listed = new Set(
      [...report.held, ...report.returns].map(({ permitId }) => permitId),
    );
    for (const { permitId } of table.listHeld(known.entryId)) {
      if (!listed.has(permitId)) {
        table.free(permitId);
      }
    }
    onClose(known);
    known.granted.notify();
  }

  #close(session: EntrySession): void {
    const { table, onClose } = this.#options;
    this.#sessions.delete(session.entryId);
    const sentUntilMs = session.leaseUntilMs;
    for (const record of table.listHeld(session.entryId)) {
      table.markOrphaned(record, { sentUntilMs });
    }
    onClose(session);
    session.granted.notify();
  }
}

/**
 * Returns whether a report is outdated: it comes from an earlier run of the
 * entry, or is not newer than the last report of the same run.
 *
 * @param session - Session of the entry.
 * @param report - The report.
 * @returns True for a report that must be ignored.
 */
export function isStaleReport(
  session: EntrySession,
  report: PermitReport,
): boolean {
  return report.runStartedAtMs === session.runStartedAtMs
    ? report.sequence <= session.lastSequence
    : report.runStartedAtMs < session.runStartedAtMs;
}
