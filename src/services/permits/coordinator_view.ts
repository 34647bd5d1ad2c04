/** What this entry knows from the coordinator's last answers. */
import type { PermitGrant, PermitReply } from "./permit_messages.ts";

const REPLY_OVERDUE_MS = 50;

/** The session of this entry with the coordinator. */
export class CoordinatorView {
  #sessionId: string | undefined;
  #leaseUntilMs = -Infinity;
  #lastGrantNumber = 0;
  #reply: PermitReply | undefined;
  #repliedAtMs = 0;
  #isReachable = true;
  #hasSeenTakeoverEnd = false;
  /** What teams hold in excess and have not given up yet, in permits. */
  readonly #dueReturnsByTeam = new Map<string, number>();
  #reportSentAtMs: number | undefined;

  /** Session that is open, if any. */
  get sessionId(): string | undefined {
    return this.#sessionId;
  }

  /** Highest number of a grant seen in the session. */
  get lastGrantNumber(): number {
    return this.#lastGrantNumber;
  }

  /** The last answer, if there was one. */
  get reply(): PermitReply | undefined {
    return this.#reply;
  }

  /**
   * Whether any coordinator had counted what runs since this entry started;
   * stays true, as a later change of coordinator concerns all entries.
   */
  get hasSeenTakeoverEnd(): boolean {
    return this.#hasSeenTakeoverEnd;
  }

  /** Local monotonic time at which the last answer arrived. */
  get repliedAtMs(): number {
    return this.#repliedAtMs;
  }

  /** Monotonic time from which nothing may be started under any permit. */
  get leaseUntilMs(): number {
    return this.#leaseUntilMs;
  }

  /**
   * Tells whether a permit may be used again for as long as the lease holds,
   * because a permit given back now could be granted to nobody.
   *
   * @param nowMs - Local monotonic time.
   * @returns True while the coordinator is silent or counts what runs.
   */
  allowsReuseUntilLeaseEnd(nowMs: number): boolean {
    const reportSentAtMs = this.#reportSentAtMs ?? nowMs;
    return !this.#isReachable || nowMs - reportSentAtMs > REPLY_OVERDUE_MS ||
      (this.#reply?.takingOver ?? false);
  }

  /**
   * Decides at the end of an attempt whether its permit goes back now, so that
   * of many the team gives up the part that it holds in excess.
   *
   * @param team - The team that holds the permit.
   * @returns True when it should go back.
   */
  takeDueReturn(team: string): boolean {
    const excess = this.#reply?.excesses.find((found) => found.team === team);
    const dueReturns = (this.#dueReturnsByTeam.get(team) ?? 0) +
      (excess?.fraction ?? 0);
    const isDue = dueReturns >= 1;
    if (excess === undefined) {
      this.#dueReturnsByTeam.delete(team);
    } else {
      this.#dueReturnsByTeam.set(team, isDue ? dueReturns - 1 : dueReturns);
    }
    return isDue;
  }

  /** Notes that a report is sent. */
  markReportSent(nowMs: number): void {
    this.#reportSentAtMs = nowMs;
  }

  /** Forgets the session; grants made in it are refused from now on. */
  closeSession(): void {
    this.#sessionId = undefined;
  }

  /** Notes that a report was not answered. */
  markUnreachable(): void {
    this.#isReachable = false;
    this.#reportSentAtMs = undefined;
  }

  /**
   * Takes in an answer.
   *
   * @param reply - The answer.
   * @param reportSentAtMs - Local time at which the report was sent: the lease is
   * counted from it, as the coordinator counts from a later moment.
   * @param nowMs - Local monotonic time.
   */
  applyReply(reply: PermitReply, reportSentAtMs: number, nowMs: number): void {
    this.#isReachable = true;
    this.#reportSentAtMs = undefined;
    if (reply.mustReopen) {
      this.#sessionId = undefined;
      return;
    }
    if (reply.sessionId !== this.#sessionId) {
      this.#sessionId = reply.sessionId;
      this.#lastGrantNumber = 0;
    }
    this.#reply = reply;
    this.#repliedAtMs = nowMs;
    this.#leaseUntilMs = reportSentAtMs + reply.leaseMs;
    this.#hasSeenTakeoverEnd ||= !reply.takingOver;
  }

  /**
   * Tells which grants are new; each is new once. Those after a gap are left
   * for the next message, which repeats all that were not confirmed.
   *
   * @param sessionId - Session in which they were made.
   * @param grants - Grants, in the order of their numbers.
   * @returns The new ones; none from another session.
   */
  acceptNewGrants(
    sessionId: string,
    grants: readonly PermitGrant[],
  ): readonly PermitGrant[] {
    if (sessionId !== this.#sessionId) {
      return [];
    }
    const newGrants: PermitGrant[] = [];
    for (const grant of grants) {
      if (grant.grantNumber === this.#lastGrantNumber + 1) {
        this.#lastGrantNumber += 1;
        newGrants.push(grant);
      }
    }
    return newGrants;
  }
}
