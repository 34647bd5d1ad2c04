/** The sessions of all entries with one coordinator. */
import { EntrySession } from "./entry_session.ts";
import type { PermitReport } from "./permit_messages.ts";
import type { PermitTable } from "./permit_table.ts";

/** Options of {@link SessionRegistry}. */
export interface SessionRegistryOptions {
  readonly coordinatorId: string;
  readonly table: PermitTable;
  /** Called for each new session. */
  readonly onOpen: (session: EntrySession) => void;
  /** Called when a session has ended or was replaced. */
  readonly onClose: (session: EntrySession) => void;
}

/** Opens, finds and closes sessions, and moves permits between them. */
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
   * Finds the session that a report belongs to, or opens one.
   *
   * @param entryId - The entry that reports.
   * @param report - The report.
   * @param nowMs - Monotonic time.
   * @returns The session; undefined when the entry must open a new one.
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
   * Closes the sessions whose leases have lapsed.
   *
   * @param nowMs - Monotonic time.
   */
  closeLapsed(nowMs: number): void {
    for (const session of [...this.#sessions.values()]) {
      if (session.leaseUntilMs < nowMs) {
        this.#close(session);
      }
    }
  }

  /** Wakes the tasks that hand out grants, so that they end. */
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

  // Grants that the run does not list never arrived, and it refuses them now.
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
 * Tells whether a report is of an earlier run, or an earlier one of the run.
 *
 * @param session - The session of the entry.
 * @param report - The report.
 * @returns True for a report that must change nothing.
 */
export function isStaleReport(
  session: EntrySession,
  report: PermitReport,
): boolean {
  return report.runStartedAtMs === session.runStartedAtMs
    ? report.sequence <= session.lastSequence
    : report.runStartedAtMs < session.runStartedAtMs;
}
