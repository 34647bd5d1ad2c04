/** What this entry knows from the coordinator's last answers. */
import type { PermitGrant, PermitReply } from "./permit_messages.ts";

const LATE_REPLY_MS = 50;

/** The session of this entry with the coordinator. */
export class CoordinatorView {
  #sessionId: string | undefined;
  #leaseUntilMs = -Infinity;
  #seenGrant = 0;
  #reply: PermitReply | undefined;
  #repliedAtMs = 0;
  #isReachable = true;
  #hasSettled = false;
  /** What teams hold in excess and have not given up yet, in permits. */
  readonly #owedByTeam = new Map<string, number>();
  #askedAtMs: number | undefined;

  /** Session that is open, if any. */
  get sessionId(): string | undefined {
    return this.#sessionId;
  }

  /** Highest number of a grant seen in the session. */
  get seenGrant(): number {
    return this.#seenGrant;
  }

  /** The last answer, if there was one. */
  get reply(): PermitReply | undefined {
    return this.#reply;
  }

  /**
   * Whether any coordinator had counted what runs since this entry started;
   * stays true, as a later change of coordinator concerns all entries.
   */
  get hasSettled(): boolean {
    return this.#hasSettled;
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
  keepsPermits(nowMs: number): boolean {
    const askedAtMs = this.#askedAtMs ?? nowMs;
    return !this.#isReachable || nowMs - askedAtMs > LATE_REPLY_MS ||
      (this.#reply?.takingOver ?? false);
  }

  /**
   * Decides at the end of an attempt whether its permit goes back now, so that
   * of many the team gives up the part that it holds in excess.
   *
   * @param team - The team that holds the permit.
   * @returns True when it should go back.
   */
  shouldGiveUp(team: string): boolean {
    const excess = this.#reply?.excesses.find((found) => found.team === team);
    const owed = (this.#owedByTeam.get(team) ?? 0) + (excess?.fraction ?? 0);
    const isDue = owed >= 1;
    if (excess === undefined) {
      this.#owedByTeam.delete(team);
    } else {
      this.#owedByTeam.set(team, isDue ? owed - 1 : owed);
    }
    return isDue;
  }

  /** Notes that a report is sent. */
  markAsked(nowMs: number): void {
    this.#askedAtMs = nowMs;
  }

  /** Forgets the session; grants made in it are refused from now on. */
  closeSession(): void {
    this.#sessionId = undefined;
  }

  /** Notes that a report was not answered. */
  markUnreachable(): void {
    this.#isReachable = false;
    this.#askedAtMs = undefined;
  }

  /**
   * Takes in an answer.
   *
   * @param reply - The answer.
   * @param askedAtMs - Local time at which the report was sent: the lease is
   * counted from it, as the coordinator counts from a later moment.
   * @param nowMs - Local monotonic time.
   */
  accept(reply: PermitReply, askedAtMs: number, nowMs: number): void {
    this.#isReachable = true;
    this.#askedAtMs = undefined;
    if (reply.mustReopen) {
      this.#sessionId = undefined;
      return;
    }
    if (reply.sessionId !== this.#sessionId) {
      this.#sessionId = reply.sessionId;
      this.#seenGrant = 0;
    }
    this.#reply = reply;
    this.#repliedAtMs = nowMs;
    this.#leaseUntilMs = askedAtMs + reply.leaseMs;
    this.#hasSettled ||= !reply.takingOver;
  }

  /**
   * Tells which grants are new; each is new once. Those after a gap are left
   * for the next message, which repeats all that were not confirmed.
   *
   * @param sessionId - Session in which they were made.
   * @param grants - Grants, in the order of their numbers.
   * @returns The new ones; none from another session.
   */
  takeNew(
    sessionId: string,
    grants: readonly PermitGrant[],
  ): readonly PermitGrant[] {
    if (sessionId !== this.#sessionId) {
      return [];
    }
    const fresh: PermitGrant[] = [];
    for (const grant of grants) {
      if (grant.grantNumber === this.#seenGrant + 1) {
        this.#seenGrant += 1;
        fresh.push(grant);
      }
    }
    return fresh;
  }
}
