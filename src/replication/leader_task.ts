/** The leader's watch over its quorum and its members. */
import type { Command, Member, Membership } from "../domain/index.ts";
import type { FollowerProgress } from "./follower_progress.ts";
import type { Leadership } from "./leadership.ts";
import type { ProposalQueue } from "./proposal_queue.ts";
import type { ReplicaCore } from "./replica_core.ts";
import { CAUGHT_UP_COUNT, LEADER_CHECK_MS, LOST_VOTER_MS } from "./timing.ts";

/** Steps down without a quorum, and repairs the membership step by step. */
export class LeaderTask {
  readonly #core: ReplicaCore;
  readonly #queue: ProposalQueue;

  /**
   * @param core - The replica.
   * @param queue - Takes the commands that change the membership.
   */
  constructor(core: ReplicaCore, queue: ProposalQueue) {
    this.#core = core;
    this.#queue = queue;
  }

  /**
   * Watches while this replica leads.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const core = this.#core;
    while (!signal.aborted) {
      const { leadership } = core;
      if (leadership === undefined) {
        await core.changed.wait(signal);
        continue;
      }
      await core.options.clock.sleep(LEADER_CHECK_MS, signal);
      await this.#check(leadership);
    }
  }

  async #check(leadership: Leadership): Promise<void> {
    const core = this.#core;
    if (core.leadership !== leadership) {
      return;
    }
    if (leadership.hasLostQuorum) {
      await core.mutex.run(() => this.#stepDown("a quorum is silent"));
      return;
    }
    leadership.advanceCommit();
    if (!leadership.isEstablished || this.#isMembershipOpen()) {
      return;
    }
    if (!core.isVoter) {
      await core.mutex.run(() => this.#stepDown("it no longer votes"));
      return;
    }
    const command = this.#planRepair(leadership);
    if (command !== undefined) {
      core.options.logger.info({ command }, "changes the membership");
      await this.#queue.propose(command);
    }
  }

  #stepDown(reason: string): Promise<void> {
    this.#core.stepDown(reason);
    return Promise.resolve();
  }

  #isMembershipOpen(): boolean {
    return this.#core.log.membershipIndex > this.#core.commitIndex;
  }

  #planRepair(leadership: Leadership): Command | undefined {
    return this.#planDemotion(leadership) ??
      this.#planReplacement(leadership) ??
      this.#planPromotion(leadership) ?? this.#planAdmission(leadership);
  }

  // A member that runs with another data folder has forgotten votes and log.
  #planDemotion(leadership: Leadership): Command | undefined {
    const { membership } = this.#core.log;
    const { voters, learners } = membership;
    for (const member of [...voters, ...learners]) {
      const successor = this.#findSuccessor(leadership, member);
      if (successor !== undefined) {
        return createCommand({
          voters: voters.filter((voter) => voter !== member),
          learners: [
            ...learners.filter(({ entryId }) => entryId !== member.entryId),
            successor,
          ],
        });
      }
    }
    return undefined;
  }

  #findSuccessor(
    leadership: Leadership,
    member: Member,
  ): Member | undefined {
    const running = this.#listRunning(leadership).filter((follower) =>
      follower.member.entryId === member.entryId
    );
    const isAlive = running.some((follower) =>
      follower.member.storeId === member.storeId
    );
    const successor = running.find((follower) => follower.wantsVote);
    return isAlive ? undefined : successor?.member;
  }

  #planPromotion(leadership: Leadership): Command | undefined {
    const { voters, learners } = this.#core.log.membership;
    const learner = this.#findCaughtUp(leadership);
    return learner === undefined ? undefined : createCommand({
      voters: [...voters, learner],
      learners: learners.filter((other) => other !== learner),
    });
  }

  #findCaughtUp(leadership: Leadership): Member | undefined {
    const { log, commitIndex } = this.#core;
    const caughtUp = this.#listRunning(leadership).filter((follower) =>
      follower.wantsVote && follower.matchIndex >= commitIndex - CAUGHT_UP_COUNT
    );
    return log.membership.learners.find(({ storeId }) =>
      caughtUp.some((follower) => follower.member.storeId === storeId)
    );
  }

  // A voter that is gone for good makes room for the learner in its place;
  // one that comes back is admitted again like any other.
  #planReplacement(leadership: Leadership): Command | undefined {
    const { self, options, log } = this.#core;
    const { voters, learners } = log.membership;
    if (
      !options.admitsMembers || this.#findCaughtUp(leadership) === undefined
    ) {
      return undefined;
    }
    const lost = voters.find((voter) =>
      voter.storeId !== self.storeId &&
      leadership.computeSilenceMs(voter) > LOST_VOTER_MS
    );
    return lost === undefined ? undefined : createCommand({
      voters: voters.filter((voter) => voter !== lost),
      learners,
    });
  }

  #planAdmission(leadership: Leadership): Command | undefined {
    const { options, log } = this.#core;
    const { voters, learners } = log.membership;
    if (!options.admitsMembers) {
      return undefined;
    }
    const candidate = this.#listRunning(leadership).find((follower) =>
      follower.wantsVote &&
      ![...voters, ...learners].some(({ entryId }) =>
        entryId === follower.member.entryId
      )
    );
    return candidate === undefined
      ? undefined
      : createCommand({ voters, learners: [...learners, candidate.member] });
  }

  #listRunning(leadership: Leadership): FollowerProgress[] {
    const nowMs = this.#core.options.clock.monotonicMs();
    return leadership.followers.filter((follower) =>
      follower.hasDisk && follower.isRunning(nowMs)
    );
  }
}

function createCommand(membership: Membership): Command {
  return { type: "membership", ...membership };
}
