/** Lists the entries and the revision in force at each, as the leader knows it. */
import { Result } from "true-myth";
import {
  type Failure,
  includesMember,
  type Member,
  validateWith,
} from "../domain/index.ts";
import type { EntryList, EntryReport } from "../ports/index.ts";
import type { Leadership } from "./leadership.ts";
import { entryListSchema, METHODS } from "./messages.ts";
import type { ReplicaCore } from "./replica_core.ts";
import { CALL_TIMEOUT_MS, FRESHNESS_LEASE_MS } from "./timing.ts";

/** Creates the list on the leader; other entries request it from the leader. */
export class EntryLister {
  readonly #core: ReplicaCore;

  constructor(core: ReplicaCore) {
    this.#core = core;
  }

  /**
   * Lists the entries, on this replica or by a call to the leader.
   *
   * @returns The list, `notLeader`, or `peerUnreachable`.
   */
  async list(): Promise<Result<EntryList, Failure>> {
    const core = this.#core;
    const { leaderId, leadership } = core;
    if (leadership !== undefined || leaderId === undefined) {
      return this.createList();
    }
    const reply = await core.options.network.call(
      leaderId,
      METHODS.entries,
      {},
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    return reply.andThen((body) =>
      validateWith(entryListSchema, body, { subject: "list of entries" })
    );
  }

  /**
   * Creates the list on the leader.
   *
   * @returns The list, or `notLeader` without a valid leader lease.
   */
  createList(): Result<EntryList, Failure> {
    const core = this.#core;
    const { leadership } = core;
    if (leadership === undefined || !leadership.hasLease) {
      return Result.err(core.createNotLeaderFailure());
    }
    const { entryId } = core.self;
    const { revision } = core.state;
    const { clock } = core.options;
    const own: EntryReport = {
      entryId,
      role: "leader",
      revision,
      leaseLeftMs: computeTimeLeft(
        leadership.confirmedAtMs + FRESHNESS_LEASE_MS,
        clock.monotonicMs(),
      ),
    };
    const others = core.peerIds.map((peerId) =>
      this.#report(leadership, peerId)
    );
    return Result.ok({
      leaderId: entryId,
      revision,
      entries: [own, ...others].toSorted((left, right) =>
        left.entryId < right.entryId ? -1 : 1
      ),
    });
  }

  #report(leadership: Leadership, entryId: string): EntryReport {
    const followers = leadership.followers.filter(({ member }) =>
      member.entryId === entryId
    );
    // The previous leader may have granted a lease just before this term.
    const earlierMs = leadership.sinceMs + FRESHNESS_LEASE_MS;
    const endMs = Math.max(
      earlierMs,
      ...followers.map(({ leaseEndsAtMs }) => leaseEndsAtMs),
    );
    return {
      entryId,
      role: this.#findRole(entryId, followers.at(-1)?.member),
      // After a restart with an empty store, an entry has several followers, one
      // for each store id; the last one is the current one.
      revision: followers.at(-1)?.revision,
      leaseLeftMs: computeTimeLeft(
        endMs,
        this.#core.options.clock.steadyMs(),
      ),
    };
  }

  // The membership names a voter by entry and data folder. An entry whose data
  // folder was emptied does not vote until the membership names its new folder,
  // although the entry is still listed there with the old one.
  #findRole(entryId: string, newest: Member | undefined): EntryReport["role"] {
    const { voters, learners } = this.#core.log.membership;
    const isNamed = (members: readonly Member[]) =>
      members.some((member) => member.entryId === entryId);
    if (!isNamed(voters)) {
      return isNamed(learners) ? "learner" : "observer";
    }
    const votes = newest === undefined || includesMember(voters, newest);
    return votes ? "voter" : "learner";
  }
}

function computeTimeLeft(endMs: number, nowMs: number): number {
  return Math.max(0, Math.ceil(endMs - nowMs));
}
