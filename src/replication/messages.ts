/** Messages between replicas. */
import * as v from "valibot";
import { commandSchema } from "../domain/index.ts";

/** Names of the messages. */
export const METHODS = {
  pull: "replication.pull",
  vote: "replication.vote",
  announce: "replication.announce",
  resign: "replication.resign",
  probe: "replication.probe",
  snapshotPart: "replication.snapshotPart",
  propose: "replication.propose",
  entries: "replication.entries",
  changeVoter: "replication.changeVoter",
} as const;

/** Schema of {@link PullRequest}. */
export const pullRequestSchema = v.object({
  term: v.number(),
  storeId: v.string(),
  hasDisk: v.boolean(),
  /** Whether the entry is set to vote. */
  wantsVote: v.boolean(),
  /** The last entry that the follower holds durably and knows to be the leader's. */
  prevIndex: v.number(),
  prevTerm: v.number(),
  commitIndex: v.number(),
  revision: v.number(),
  /** Follower's monotonic time of this ask, in milliseconds. */
  askMs: v.number(),
  /** Stamp of the last answer of the leader of `echoTerm`, in milliseconds. */
  echoMs: v.number(),
  echoTerm: v.number(),
  /** Asks for an answer as soon as the leader has confirmed its quorum. */
  isHurried: v.boolean(),
});

/** A follower's request for entries; it also acknowledges what it has. */
export type PullRequest = v.InferOutput<typeof pullRequestSchema>;

const commonResponseFields = {
  term: v.number(),
  /** Leader's monotonic time of this answer, in milliseconds. */
  stampMs: v.number(),
  commitIndex: v.number(),
  /** Newest ask after which a quorum confirmed the leader, if any. */
  confirmedAskMs: v.optional(v.number()),
};

/** Schema of an entry of the log on its way. */
export const logEntrySchema = v.object({
  index: v.number(),
  term: v.number(),
  command: commandSchema,
});

/** Schema of {@link PullResponse}. */
export const pullResponseSchema = v.variant("type", [
  v.object({
    type: v.literal("entries"),
    ...commonResponseFields,
    entries: v.array(logEntrySchema),
  }),
  v.object({
    type: v.literal("diverged"),
    ...commonResponseFields,
    /** Last entry of the leader that is not newer than the follower's. */
    lastIndex: v.number(),
    lastTerm: v.number(),
  }),
  v.object({
    type: v.literal("snapshot"),
    ...commonResponseFields,
    index: v.number(),
    partCount: v.number(),
  }),
]);

/** The leader's answer to a pull. */
export type PullResponse = v.InferOutput<typeof pullResponseSchema>;

/** Schema of {@link VoteRequest}. */
export const voteRequestSchema = v.object({
  term: v.number(),
  /** Only asks whether a vote would be granted. */
  isPreVote: v.boolean(),
  lastIndex: v.number(),
  lastTerm: v.number(),
});

/** A candidate's request for a vote. */
export type VoteRequest = v.InferOutput<typeof voteRequestSchema>;

/** Schema of {@link VoteResponse}. */
export const voteResponseSchema = v.object({
  term: v.number(),
  storeId: v.string(),
  isGranted: v.boolean(),
});

/** The answer to a request for a vote. */
export type VoteResponse = v.InferOutput<typeof voteResponseSchema>;

/** Schema of the message by which a new leader makes itself known. */
export const leaderAnnouncementSchema = v.object({ term: v.number() });

/** Schema of {@link ProbeResponse}. */
export const probeResponseSchema = v.object({
  storeId: v.string(),
  /** Whether the data folder holds neither a vote nor an entry. */
  isBlank: v.boolean(),
});

/** What a voter says of its data folder before a new deployment starts. */
export type ProbeResponse = v.InferOutput<typeof probeResponseSchema>;

/** Schema of a request for one part of a snapshot. */
export const snapshotPartRequestSchema = v.object({
  index: v.number(),
  part: v.number(),
});

/** Schema of a proposal that an entry forwards to the leader. */
export const proposalSchema = v.object({
  proposalId: v.string(),
  command: commandSchema,
});

/** Schema of what a `notLeader` failure tells in its detail. */
export const leaderHintSchema = v.object({
  leaderId: v.optional(v.string()),
  term: v.number(),
});

/** Schema of the list of entries. */
export const entryListSchema = v.object({
  leaderId: v.string(),
  revision: v.number(),
  entries: v.array(v.object({
    entryId: v.string(),
    role: v.picklist(["leader", "voter", "learner", "observer"]),
    revision: v.optional(v.number()),
    leaseLeftMs: v.number(),
  })),
});
