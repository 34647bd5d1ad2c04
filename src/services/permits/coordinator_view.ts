/** State that this entry derives from the coordinator's replies. */
import type { PermitGrant, PermitReply } from "./permit_messages.ts";

const REPLY_OVERDUE_MS = 50;

/** This entry's session with the coordinator, and the last reply. */
export class CoordinatorView {
  #sessionId: string | undefined;
  #leaseUntilMs = -Infinity;
  #lastGrantNumber = 0;
  #reply: PermitReply | undefined;
  #repliedAtMs = 0;
  #isReachable = true;
  #hasSeenTakeoverEnd = false;
  /**
   * Permits that each team has to return because it exceeds its share. Holds
   * fractions, which add up with each attempt that ends.
   */
  readonly #dueReturnsByTeam = new Map<string, number>();
  #reportSentAtMs: number | undefined;

  /** Id of the open session, if any. */
  get sessionId(): string | undefined {
    return this.#sessionId;
  }

  /** Highest grant number received in the session. */
  get lastGrantNumber(): number {
    return this.#lastGrantNumber;
  }

  /** The last reply, if any. */
  get reply(): PermitReply | undefined {
    return this.#reply;
  }

  /**
   * Whether any coordinator has completed its takeover since this entry
   * started. Stays true, because a later takeover affects all entries alike.
   */
  get hasSeenTakeoverEnd(): boolean {
    return this.#hasSeenTakeoverEnd;
  }

  /** Local steady time at which the last reply arrived. */
  get repliedAtMs(): number {
    return this.#repliedAtMs;
  }

  /** Local monotonic time from which no permit allows a start. */
  get leaseUntilMs(): number {
    return this.#leaseUntilMs;
  }

  /**
   * Returns whether permits may be reused until the lease ends, because the
   * coordinator could not grant a returned permit to anyone now.
   *
   * @param nowMs - Local monotonic time.
   * @returns True while the coordinator does not respond or is taking over.
   */
  allowsReuseUntilLeaseEnd(nowMs: number): boolean {
    const reportSentAtMs = this.#reportSentAtMs ?? nowMs;
    return !this.#isReachable || nowMs - reportSentAtMs > REPLY_OVERDUE_MS ||
      (this.#reply?.takingOver ?? false);
  }

  /**
   * Decides at the end of an attempt whether to return its permit. Over many
   * attempts, the team returns the fraction of its permits that exceeds its
   * share.
   *
   * @param team - Team that the permit was granted for.
   * @returns True when the permit should be returned.
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

  /** Records that a report is being sent. */
  markReportSent(nowMs: number): void {
    this.#reportSentAtMs = nowMs;
  }

  /** Closes the session; its grants are ignored from now on. */
  closeSession(): void {
    this.#sessionId = undefined;
  }

  /** Records that the coordinator did not answer a report. */
  markUnreachable(): void {
    this.#isReachable = false;
    this.#reportSentAtMs = undefined;
  }

  /**
   * Applies a reply.
   *
   * @param reply - The reply.
   * @param reportSentAtMs - Local time at which the report was sent. The lease
   * starts then, so it ends here before it ends at the coordinator, which
   * counts from the report's arrival.
   * @param nowMs - Local steady time. The coordinator must not take a report for
   * newer than it is, so this time must not run ahead.
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
   * Accepts each grant of the session once. Grants after a gap in the numbers
   * are left for the next message, which repeats all unconfirmed grants.
   *
   * @param sessionId - Session of the grants.
   * @param grants - Grants in the order of their numbers.
   * @returns The new grants; none when they belong to another session.
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
