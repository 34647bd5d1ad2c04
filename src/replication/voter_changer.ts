/** Adds and removes voters on request of an operator. */
import { Result } from "true-myth";
import {
  createFailure,
  type Failure,
  type Member,
  type Membership,
  validateWith,
} from "../domain/index.ts";
import {
  type EntryList,
  type VoterChange,
  voterChangeSchema,
} from "../ports/index.ts";
import type { EntryLister } from "./entry_lister.ts";
import { entryListSchema, METHODS } from "./messages.ts";
import type { ProposalQueue } from "./proposal_queue.ts";
import type { ReplicaCore } from "./replica_core.ts";
import { PROPOSE_TIMEOUT_MS } from "./timing.ts";

/** Changes the membership on the leader; other entries forward the request. */
export class VoterChanger {
  readonly #core: ReplicaCore;
  readonly #queue: ProposalQueue;
  readonly #lister: EntryLister;

  /**
   * @param core - The state of the replica.
   * @param queue - Appends the command that changes the membership.
   * @param lister - Lists the entries after the change.
   */
  constructor(core: ReplicaCore, queue: ProposalQueue, lister: EntryLister) {
    this.#core = core;
    this.#queue = queue;
    this.#lister = lister;
  }

  /** Adds or removes one voter, on this replica or by a call to the leader. */
  async change(change: VoterChange): Promise<Result<EntryList, Failure>> {
    const { leaderId, leadership, options } = this.#core;
    if (leadership !== undefined || leaderId === undefined) {
      return await this.#changeAsLeader(change);
    }
    const reply = await options.network.call(
      leaderId,
      METHODS.changeVoter,
      change,
      { timeoutMs: PROPOSE_TIMEOUT_MS },
    );
    return reply.andThen((body) =>
      validateWith(entryListSchema, body, { subject: "list of entries" })
    );
  }

  /** Handles a change that another entry forwards. */
  async handleForwarded(body: unknown): Promise<Result<EntryList, Failure>> {
    const change = validateWith(voterChangeSchema, body, {
      subject: "change of a voter",
    });
    return change.isErr
      ? Result.err(change.error)
      : await this.#changeAsLeader(change.value);
  }

  async #changeAsLeader(
    change: VoterChange,
  ): Promise<Result<EntryList, Failure>> {
    const planned = this.#planMembership(change);
    if (planned.isErr) {
      return Result.err(planned.error);
    }
    if (planned.value !== undefined) {
      const command = { type: "membership" as const, ...planned.value };
      const proposed = await this.#queue.propose(command);
      if (proposed.isErr) {
        return Result.err(proposed.error);
      }
    }
    return this.#lister.createList();
  }

  /** Plans the new membership; undefined if the change is already in place. */
  #planMembership(
    { action, entryId }: VoterChange,
  ): Result<Membership | undefined, Failure> {
    const { voters, learners } = this.#core.log.membership;
    const isKnown = [...voters, ...learners].some((member) =>
      member.entryId === entryId
    );
    if (action === "remove") {
      const isOther = (member: Member) => member.entryId !== entryId;
      return Result.ok(
        isKnown
          ? {
            voters: voters.filter(isOther),
            learners: learners.filter(isOther),
          }
          : undefined,
      );
    }
    if (isKnown) {
      return Result.ok(undefined);
    }
    const member = this.#findCandidate(entryId);
    return member === undefined
      ? Result.err(createNoCandidateFailure(entryId))
      : Result.ok({ voters, learners: [...learners, member] });
  }

  #findCandidate(entryId: string): Member | undefined {
    const { leadership, options } = this.#core;
    const nowMs = options.clock.steadyMs();
    return leadership?.followers.find((follower) =>
      follower.member.entryId === entryId && follower.hasDisk &&
      follower.wantsVote && follower.isRunning(nowMs)
    )?.member;
  }
}

function createNoCandidateFailure(entryId: string): Failure {
  return createFailure(
    "notFound",
    `entry ${entryId} is not running with a data folder and the setting 'voter'`,
    { remedy: "set dataFolder and voter on that entry, start it, then add it" },
  );
}
