/** The leader's periodic checks of its quorum and of the membership. */
import type { Command, Member, Membership } from "../domain/index.ts";
import type { FollowerProgress } from "./follower_progress.ts";
import type { Leadership } from "./leadership.ts";
import type { ProposalQueue } from "./proposal_queue.ts";
import type { ReplicaCore } from "./replica_core.ts";
import { findLostVoter } from "./lost_voters.ts";
import {
  LEADER_CHECK_INTERVAL_MS,
  MAX_PROMOTION_LAG,
  SILENT_VOTER_MS,
} from "./timing.ts";

/** Steps down without a quorum; repairs the membership one change at a time. */
export class LeaderTask {
  readonly #core: ReplicaCore;
  readonly #queue: ProposalQueue;
  /** The term in which the lease was valid at the last check. */
  #leasedTerm: number | undefined;

  /**
   * @param core - The state of the replica.
   * @param queue - Appends the commands that change the membership.
   */
  constructor(core: ReplicaCore, queue: ProposalQueue) {
    this.#core = core;
    this.#queue = queue;
  }

  /**
   * Runs the checks while this replica leads.
   *
   * @param signal - Stops the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const core = this.#core;
    while (!signal.aborted) {
      const { leadership } = core;
      if (leadership === undefined) {
        await core.changed.wait(signal);
        continue;
      }
      await core.options.clock.sleep(LEADER_CHECK_INTERVAL_MS, signal);
      await this.#check(leadership);
    }
  }

  async #check(leadership: Leadership): Promise<void> {
    const core = this.#core;
    if (core.leadership !== leadership) {
      return;
    }
    this.#logLease(leadership);
    if (leadership.hasLostQuorum) {
      await core.mutex.run(() => this.#stepDown("a quorum is silent"));
      return;
    }
    leadership.advanceCommit();
    if (!leadership.isEstablished || this.#hasUncommittedMembership()) {
      return;
    }
    if (!core.isVoter) {
      await core.mutex.run(() =>
        this.#stepDown("the leader is no longer a voter")
      );
      return;
    }
    const command = this.#planMembershipChange(leadership);
    if (command !== undefined) {
      core.options.logger.info({ command }, "changing the membership");
      await this.#queue.propose(command);
    }
  }

  #logLease(leadership: Leadership): void {
    const { hasLease, leaseAgeMs, term } = leadership;
    if (hasLease === (this.#leasedTerm === term)) {
      return;
    }
    this.#leasedTerm = hasLease ? term : undefined;
    const { appliedIndex, options } = this.#core;
    options.logger.info(
      { term, appliedIndex, leaseAgeMs: Math.round(leaseAgeMs) },
      hasLease ? "holds the leader lease" : "the leader lease has lapsed",
    );
  }

  #stepDown(reason: string): Promise<void> {
    this.#core.stepDown(reason);
    return Promise.resolve();
  }

  #hasUncommittedMembership(): boolean {
    return this.#core.log.membershipIndex > this.#core.commitIndex;
  }

  #planMembershipChange(leadership: Leadership): Command | undefined {
    return this.#planStoreReplacement(leadership) ??
      this.#planLostVoterRemoval(leadership) ??
      this.#planPromotion(leadership) ?? this.#planAdmission(leadership);
  }

  // A member that runs with a new data folder has lost its votes and its log, so
  // the new folder starts as a learner.
  #planStoreReplacement(leadership: Leadership): Command | undefined {
    const { membership } = this.#core.log;
    const { voters, learners } = membership;
    for (const member of [...voters, ...learners]) {
      const replacement = this.#findReplacementStore(leadership, member);
      if (replacement !== undefined) {
        return createMembershipCommand({
          voters: voters.filter((voter) => voter !== member),
          learners: [
            ...learners.filter(({ entryId }) => entryId !== member.entryId),
            replacement,
          ],
        });
      }
    }
    return undefined;
  }

  #findReplacementStore(
    leadership: Leadership,
    member: Member,
  ): Member | undefined {
    const running = this.#listRunningFollowers(leadership).filter((follower) =>
      follower.member.entryId === member.entryId
    );
    const isRunning = running.some((follower) =>
      follower.member.storeId === member.storeId
    );
    const replacement = running.find((follower) => follower.wantsVote);
    return isRunning ? undefined : replacement?.member;
  }

  // While a voter is silent, the learner may be the one that replaces it.
  #planPromotion(leadership: Leadership): Command | undefined {
    const { log: { membership }, self } = this.#core;
    const { voters, learners } = membership;
    const learner = this.#findCaughtUpLearner(leadership);
    const areAllHeard = voters.every((voter) =>
      voter.storeId === self.storeId ||
      leadership.isHeard(voter, SILENT_VOTER_MS)
    );
    return learner === undefined || !areAllHeard
      ? undefined
      : createMembershipCommand({
        voters: [...voters, learner],
        learners: learners.filter((other) => other !== learner),
      });
  }

  #findCaughtUpLearner(leadership: Leadership): Member | undefined {
    const { log, commitIndex } = this.#core;
    const caughtUp = this.#listRunningFollowers(leadership).filter((follower) =>
      follower.wantsVote &&
      follower.matchIndex >= commitIndex - MAX_PROMOTION_LAG
    );
    return log.membership.learners.find(({ storeId }) =>
      caughtUp.some((follower) => follower.member.storeId === storeId)
    );
  }

  // A voter that never returns must not count towards the quorum for good. A
  // removed voter that returns is admitted again like any other entry.
  #planLostVoterRemoval(leadership: Leadership): Command | undefined {
    const { self, options, log } = this.#core;
    const { voters, learners } = log.membership;
    if (!options.admitsMembers) {
      return undefined;
    }
    const lostVoter = findLostVoter({
      hasReplacement: this.#findCaughtUpLearner(leadership) !== undefined,
      voters: voters.map((voter) => ({
        ...voter,
        silentMs: voter.storeId === self.storeId
          ? 0
          : leadership.computeMsSinceLastPull(voter),
      })),
    });
    return lostVoter === undefined ? undefined : createMembershipCommand({
      voters: voters.filter(({ storeId }) => storeId !== lostVoter.storeId),
      learners,
    });
  }

  #planAdmission(leadership: Leadership): Command | undefined {
    const { options, log } = this.#core;
    const { voters, learners } = log.membership;
    if (!options.admitsMembers) {
      return undefined;
    }
    const candidate = this.#listRunningFollowers(leadership).find((follower) =>
      follower.wantsVote &&
      ![...voters, ...learners].some(({ entryId }) =>
        entryId === follower.member.entryId
      )
    );
    return candidate === undefined ? undefined : createMembershipCommand({
      voters,
      learners: [...learners, candidate.member],
    });
  }

  #listRunningFollowers(leadership: Leadership): FollowerProgress[] {
    const nowMs = this.#core.options.clock.steadyMs();
    return leadership.followers.filter((follower) =>
      follower.hasDisk && follower.isRunning(nowMs)
    );
  }
}

function createMembershipCommand(membership: Membership): Command {
  return { type: "membership", ...membership };
}
