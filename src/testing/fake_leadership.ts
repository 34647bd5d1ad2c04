/**
 * A fake agreement without a log: one shared state and a leader that can
 * change.
 */
import { Result } from "true-myth";
import type { AppliedValue, Failure, FleetState } from "../domain/index.ts";
import type { Agreement, AgreementStatus, Clock } from "../ports/index.ts";

const FRESHNESS_MS = 2_000;
const ELECTION_MS = 400;
const TICK_MS = 50;

interface Member {
  readonly entryId: string;
  leaderId: string | undefined;
  leaderSinceMs: number | undefined;
  term: number;
  freshUntilMs: number;
}

/** Options of {@link FakeLeadership}. */
export interface FakeLeadershipOptions {
  readonly clock: Clock;
  readonly state: FleetState;
}

/**
 * Elects the first reachable entry after the leader has been unreachable for a
 * while.
 */
export class FakeLeadership {
  readonly #options: FakeLeadershipOptions;
  readonly #members = new Map<string, Member>();
  readonly #isolated = new Set<string>();
  #leaderId: string | undefined;
  #term = 0;
  #leaderSeenAtMs = -Infinity;

  constructor(options: FakeLeadershipOptions) {
    this.#options = options;
    void this.#tickForever();
  }

  /** Id of the entry that a quorum considers the leader. */
  get leaderId(): string | undefined {
    return this.#leaderId;
  }

  /** Adds an entry, or adds it again after a restart. */
  join(entryId: string): Agreement {
    const member: Member = {
      entryId,
      leaderId: undefined,
      leaderSinceMs: undefined,
      term: 0,
      freshUntilMs: -Infinity,
    };
    this.#members.set(entryId, member);
    return new FakeMember(member, this.#options.state);
  }

  /** Removes an entry that was killed. */
  leave(entryId: string): void {
    this.#members.delete(entryId);
  }

  /**
   * Isolates an entry from the quorum; its view of the leader no longer
   * changes.
   */
  isolate(entryId: string): void {
    this.#isolated.add(entryId);
  }

  /** Ends all isolations. */
  heal(): void {
    this.#isolated.clear();
  }

  /** Makes another entry the leader, although the current one is healthy. */
  changeLeader(): void {
    const previousId = this.#leaderId;
    const next = this.#listReachable().find(({ entryId }) =>
      entryId !== previousId
    );
    if (next !== undefined) {
      this.#elect(next);
    }
  }

  async #tickForever(): Promise<void> {
    const { clock } = this.#options;
    for (;;) {
      this.#tick(clock.monotonicMs());
      await clock.sleep(TICK_MS);
    }
  }

  #tick(nowMs: number): void {
    const reachable = this.#listReachable();
    if (reachable.some(({ entryId }) => entryId === this.#leaderId)) {
      this.#leaderSeenAtMs = nowMs;
    } else if (nowMs - this.#leaderSeenAtMs >= ELECTION_MS && reachable[0]) {
      this.#elect(reachable[0]);
    }
    for (const member of reachable) {
      member.freshUntilMs = nowMs + FRESHNESS_MS;
      member.leaderId = this.#leaderId;
      member.term = this.#term;
      if (member.entryId !== this.#leaderId) {
        member.leaderSinceMs = undefined;
      }
    }
  }

  #elect(member: Member): void {
    const nowMs = this.#options.clock.monotonicMs();
    this.#term += 1;
    this.#leaderId = member.entryId;
    this.#leaderSeenAtMs = nowMs;
    member.leaderSinceMs = nowMs;
    member.term = this.#term;
    member.leaderId = member.entryId;
  }

  #listReachable(): Member[] {
    return [...this.#members.values()].filter(({ entryId }) =>
      !this.#isolated.has(entryId)
    );
  }
}

class FakeMember implements Agreement {
  readonly state: FleetState;
  readonly #member: Member;

  constructor(member: Member, state: FleetState) {
    this.#member = member;
    this.state = state;
  }

  propose(): Promise<Result<AppliedValue, Failure>> {
    return Promise.resolve(Result.ok({ revision: this.state.revision }));
  }

  proposeInTerm(): Promise<Result<AppliedValue, Failure>> {
    return this.propose();
  }

  follow(): Promise<AgreementStatus> {
    return Promise.resolve(this.status());
  }

  status(): AgreementStatus {
    const { revision } = this.state;
    return {
      ...this.#member,
      leaseAgeMs: this.#member.leaderSinceMs === undefined ? undefined : 0,
      appliedIndex: revision,
      commitIndex: revision,
      revision,
    };
  }
}
