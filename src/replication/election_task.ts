/** Leader election: pre-vote, vote, and the announcement of the new leader. */
import {
  type Command,
  computeQuorum,
  includesMember,
  type Member,
  validateWith,
} from "../domain/index.ts";
import { Notifier, waitFor } from "../tasks/index.ts";
import {
  METHODS,
  type VoteRequest,
  type VoteResponse,
  voteResponseSchema,
} from "./messages.ts";
import type { ReplicaCore } from "./replica_core.ts";
import {
  CALL_TIMEOUT_MS,
  ELECTION_JITTER_MS,
  MAX_ELECTION_RETRY_DELAY_MS,
  MIN_ELECTION_TIMEOUT_MS,
  VOTE_TIMEOUT_MS,
} from "./timing.ts";

/** Starts an election when the election timeout passes without a leader. */
export class ElectionTask {
  readonly #core: ReplicaCore;
  /** Steady time at which this candidate last let another one go first (ms). */
  #yieldedAtMs = -Infinity;

  constructor(core: ReplicaCore) {
    this.#core = core;
  }

  /**
   * Monitors contact with the leader and starts elections as a candidate.
   *
   * @param signal - Stops the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#core.options;
    let timeoutMs = this.#chooseTimeout();
    while (!signal.aborted) {
      const waitMs = this.#computeWaitMs(timeoutMs);
      if (waitMs > 0) {
        await waitFor({
          clock,
          notifier: this.#core.changed,
          timeoutMs: waitMs,
          signal,
          isMet: () => this.#computeWaitMs(timeoutMs) <= 0,
        });
        continue;
      }
      await this.#runElection();
      timeoutMs = this.#chooseTimeout();
      // A random delay keeps competing candidates from splitting the votes again.
      await clock.sleep(random.nextInt(MAX_ELECTION_RETRY_DELAY_MS), signal);
    }
  }

  #chooseTimeout(): number {
    const { random } = this.#core.options;
    return MIN_ELECTION_TIMEOUT_MS + random.nextInt(ELECTION_JITTER_MS);
  }

  #computeWaitMs(timeoutMs: number): number {
    const { lastContactMs, log, options, resignedUntilMs } = this.#core;
    const nowMs = options.clock.steadyMs();
    if (!this.#isEligible()) {
      return MIN_ELECTION_TIMEOUT_MS;
    }
    const isOnlyVoter = log.membership.voters.length === 1;
    const electionDueMs = isOnlyVoter ? nowMs : lastContactMs + timeoutMs;
    return Math.max(electionDueMs, resignedUntilMs) - nowMs;
  }

  #isEligible(): boolean {
    const { options, leadership, isVoter } = this.#core;
    return options.hasDisk && leadership === undefined && isVoter;
  }

  async #runElection(): Promise<void> {
    const core = this.#core;
    const preVotes = await this.#collectVotes(this.#createRequest(true));
    if (!this.#isMajority(preVotes)) {
      this.#logLost(preVotes);
      return;
    }
    if (this.#mustYield()) {
      return;
    }
    const request = await this.#startTerm();
    if (request === undefined) {
      return;
    }
    const votes = await this.#collectVotes(request);
    await core.mutex.run(async () => {
      const isValid = core.term === request.term &&
        core.leadership === undefined;
      if (isValid && this.#isMajority(votes)) {
        await core.becomeLeader([createLeaderCommand(core)]);
      }
    });
    announceLeader(core);
  }

  // Two candidates that begin a term at once each vote for themselves, and may
  // both lack that vote. The one with the older log or the higher id waits, but
  // not again at once: the other one may be unable to win.
  #mustYield(): boolean {
    const { log: { last }, options, rival, self } = this.#core;
    const nowMs = options.clock.steadyMs();
    if (
      rival === undefined || nowMs - rival.promisedAtMs > VOTE_TIMEOUT_MS ||
      nowMs - this.#yieldedAtMs <= MIN_ELECTION_TIMEOUT_MS
    ) {
      return false;
    }
    const isNewer = rival.last.term > last.term ||
      (rival.last.term === last.term && rival.last.index > last.index);
    const isEqual = rival.last.term === last.term &&
      rival.last.index === last.index;
    const isFirst = isNewer || (isEqual && rival.entryId < self.entryId);
    if (isFirst) {
      this.#yieldedAtMs = nowMs;
      options.logger.info(
        { rivalId: rival.entryId },
        "lets another candidate go first",
      );
    }
    return isFirst;
  }

  async #startTerm(): Promise<VoteRequest | undefined> {
    const core = this.#core;
    return await core.mutex.run(async () => {
      if (
        !this.#isEligible() || this.#computeWaitMs(MIN_ELECTION_TIMEOUT_MS) > 0
      ) {
        return undefined;
      }
      const isStarted = await core.startTerm();
      return isStarted ? this.#createRequest(false) : undefined;
    });
  }

  #createRequest(isPreVote: boolean): VoteRequest {
    const { term, log } = this.#core;
    return {
      term: isPreVote ? term + 1 : term,
      isPreVote,
      lastIndex: log.last.index,
      lastTerm: log.last.term,
    };
  }

  async #collectVotes(request: VoteRequest): Promise<readonly Member[]> {
    const core = this.#core;
    const { clock } = core.options;
    const granted: Member[] = [core.self];
    const others = core.log.membership.voters.filter((voter) =>
      voter.entryId !== core.self.entryId
    );
    const responseReceived = new Notifier();
    let pendingCount = others.length;
    for (const voter of others) {
      void this.#requestVote(voter, request).then((isGranted) => {
        pendingCount -= 1;
        if (isGranted) {
          granted.push(voter);
        }
        responseReceived.notify();
      });
    }
    await waitFor({
      clock,
      notifier: responseReceived,
      timeoutMs: VOTE_TIMEOUT_MS,
      isMet: () => pendingCount === 0 || this.#isMajority(granted),
    });
    return [...granted];
  }

  async #requestVote(voter: Member, request: VoteRequest): Promise<boolean> {
    const core = this.#core;
    const reply = await core.options.network.call(
      voter.entryId,
      METHODS.vote,
      request,
      { timeoutMs: VOTE_TIMEOUT_MS },
    );
    const response = reply.andThen((body) =>
      validateWith(voteResponseSchema, body, { subject: "vote response" })
    );
    if (response.isErr) {
      return false;
    }
    const { term, isGranted, storeId }: VoteResponse = response.value;
    await core.mutex.run(() => core.raiseTerm(term));
    // A voter whose data folder was emptied no longer knows its earlier votes.
    return isGranted && storeId === voter.storeId;
  }

  // Voters that never grant a vote may be gone for good, so that those that are
  // left can have no leader.
  #logLost(granted: readonly Member[]): void {
    const { log: { membership, last }, options, term } = this.#core;
    const { voters } = membership;
    options.logger.info(
      {
        term,
        lastIndex: last.index,
        grantedIds: granted.map(({ entryId }) => entryId),
        voterIds: voters.map(({ entryId }) => entryId),
        quorumCount: computeQuorum(voters.length),
      },
      "found no majority for an election",
    );
  }

  #isMajority(granted: readonly Member[]): boolean {
    const { voters } = this.#core.log.membership;
    const count = voters.filter((voter) => includesMember(granted, voter))
      .length;
    return count >= computeQuorum(voters.length);
  }
}

/**
 * Creates the command with which a new leader opens its term in the log.
 *
 * @param core - The state of the replica that leads.
 * @returns The command.
 */
export function createLeaderCommand(core: ReplicaCore): Command {
  return { type: "leader", leaderId: core.self.entryId };
}

/**
 * Announces that this replica has resigned, so that others start an election
 * without waiting for their whole election timeout.
 *
 * @param core - The state of the replica that led until now.
 * @param term - The term that it led.
 * @returns A promise that resolves when every entry has answered, or after
 * {@link VOTE_TIMEOUT_MS}.
 */
export async function announceResignation(
  core: ReplicaCore,
  term: number,
): Promise<void> {
  const { network } = core.options;
  await Promise.all(
    core.peerIds.map((peerId) =>
      network.call(peerId, METHODS.resign, { term }, {
        timeoutMs: VOTE_TIMEOUT_MS,
      })
    ),
  );
}

/**
 * Announces this replica as leader, so that other entries need not search.
 *
 * @param core - The state of the replica; nothing is sent unless it leads.
 */
export function announceLeader(core: ReplicaCore): void {
  if (core.leadership === undefined) {
    return;
  }
  const { network } = core.options;
  for (const peerId of core.peerIds) {
    void network.call(peerId, METHODS.announce, { term: core.term }, {
      timeoutMs: CALL_TIMEOUT_MS,
    });
  }
}
