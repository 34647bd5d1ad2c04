/** The voter's side of an election. */
import { Result } from "true-myth";
import { type Failure, validateWith } from "../domain/index.ts";
import {
  leaderAnnouncementSchema,
  type ProbeResponse,
  resignationSchema,
  type VoteRequest,
  voteRequestSchema,
  type VoteResponse,
} from "./messages.ts";
import type { ReplicaCore } from "./replica_core.ts";
import { MIN_ELECTION_TIMEOUT_MS, VOTE_GRACE_MS } from "./timing.ts";

/** Grants or refuses votes, at most one in a term. */
export class VoteHandler {
  readonly #core: ReplicaCore;

  constructor(core: ReplicaCore) {
    this.#core = core;
  }

  /**
   * Responds to a vote request; a granted vote is durable before the response.
   *
   * @param peerId - The candidate.
   * @param body - Its message, not validated yet.
   * @returns Whether the vote is granted, and the data folder that grants it.
   */
  async handleVoteRequest(
    peerId: string,
    body: unknown,
  ): Promise<Result<VoteResponse, Failure>> {
    const request = validateWith(voteRequestSchema, body, {
      subject: "vote request",
    });
    if (request.isErr) {
      return Result.err(request.error);
    }
    const core = this.#core;
    const isGranted = await core.mutex.run(() =>
      this.#decideVote(peerId, request.value)
    );
    const { term, self } = core;
    return Result.ok({ term, storeId: self.storeId, isGranted });
  }

  /** Reports whether the data folder is empty and may be bootstrapped. */
  handleProbe(): Result<ProbeResponse, Failure> {
    const { self: { storeId }, isBlank, mayBootstrap } = this.#core;
    return Result.ok({ storeId, isBlank, mayBootstrap });
  }

  /**
   * Handles the announcement of a new leader.
   *
   * @param peerId - The leader.
   * @param body - Its message, not validated yet.
   * @returns Nothing, or `invalidInput`.
   */
  async handleAnnouncement(
    peerId: string,
    body: unknown,
  ): Promise<Result<unknown, Failure>> {
    const message = validateWith(leaderAnnouncementSchema, body, {
      subject: "leader announcement",
    });
    if (message.isOk) {
      await this.#core.follow(message.value.term, peerId);
    }
    return message.map(() => ({}));
  }

  /**
   * Handles the resignation of the leader. This voter grants votes from now on,
   * and only the random part of its own election timeout remains. The message may
   * arrive when the same leader leads a later term, which it must not affect.
   *
   * @param peerId - The leader.
   * @param body - Its message, not validated yet.
   * @returns Nothing, or `invalidInput`.
   */
  handleResignation(peerId: string, body: unknown): Result<unknown, Failure> {
    const core = this.#core;
    const message = validateWith(resignationSchema, body, {
      subject: "resignation",
    });
    const isFollowed = core.leaderId === peerId && message.isOk &&
      message.value.term === core.term;
    if (isFollowed) {
      core.options.logger.info(
        { leaderId: peerId, term: core.term },
        "the leader resigned",
      );
      const nowMs = core.options.clock.steadyMs();
      core.lastContactMs = nowMs - MIN_ELECTION_TIMEOUT_MS;
      core.setLeader(undefined);
    }
    return message.map(() => ({}));
  }

  async #decideVote(peerId: string, request: VoteRequest): Promise<boolean> {
    const core = this.#core;
    const { leaderId, options, term } = core;
    const sinceContactMs = options.clock.steadyMs() - core.lastContactMs;
    const refusal = await this.#findRefusal(peerId, request, sinceContactMs) ??
      (request.isPreVote ? undefined : await this.#vote(peerId));
    if (refusal === undefined && request.isPreVote) {
      this.#recordRival(peerId, request);
    }
    options.logger.info(
      {
        candidateId: peerId,
        candidateTerm: request.term,
        isPreVote: request.isPreVote,
        term,
        leaderId,
        sinceContactMs: Math.round(sinceContactMs),
        reason: refusal,
      },
      refusal === undefined ? "granted a vote" : "refused a vote",
    );
    return refusal === undefined;
  }

  /** Returns why no vote is granted, or undefined if one may be. */
  async #findRefusal(
    peerId: string,
    request: VoteRequest,
    sinceContactMs: number,
  ): Promise<string | undefined> {
    const core = this.#core;
    if (!core.options.hasDisk) {
      return "this replica has no disk";
    }
    // A candidate that only lost its own connection must not depose a leader that
    // this voter still follows.
    const hasActiveLeader = core.leadership !== undefined ||
      sinceContactMs < MIN_ELECTION_TIMEOUT_MS;
    if (hasActiveLeader) {
      return "a leader is active";
    }
    if (!this.#isUpToDate(request)) {
      return "the candidate's log is older";
    }
    if (request.isPreVote) {
      return request.term > core.term ? undefined : "the term is older";
    }
    await core.raiseTerm(request.term);
    if (request.term !== core.term) {
      return "the term is older";
    }
    return core.votedFor === undefined || core.votedFor === peerId
      ? undefined
      : "another candidate has the vote of this term";
  }

  // This replica lets the candidate go first, should it become one as well.
  #recordRival(
    peerId: string,
    { lastIndex, lastTerm }: VoteRequest,
  ): void {
    this.#core.rival = {
      entryId: peerId,
      last: { index: lastIndex, term: lastTerm },
      promisedAtMs: this.#core.options.clock.steadyMs(),
    };
  }

  /** Saves the vote; returns why that failed, or undefined. */
  async #vote(peerId: string): Promise<string | undefined> {
    const core = this.#core;
    const { clock } = core.options;
    core.votedFor = peerId;
    const saved = await core.saveVote();
    // The candidate needs time to announce itself before the next vote is granted.
    // It may have done so already, while a slow disk saved the vote.
    const graceEndMs = clock.steadyMs() + VOTE_GRACE_MS;
    core.lastContactMs = Math.max(
      core.lastContactMs,
      graceEndMs - MIN_ELECTION_TIMEOUT_MS,
    );
    return saved.isOk ? undefined : saved.error.message;
  }

  #isUpToDate({ lastTerm, lastIndex }: VoteRequest): boolean {
    const { last } = this.#core.log;
    return lastTerm > last.term ||
      (lastTerm === last.term && lastIndex >= last.index);
  }
}
