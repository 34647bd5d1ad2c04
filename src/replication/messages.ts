/** Schemas of the messages between replicas. */
import * as v from "valibot";
import { commandSchema } from "../domain/index.ts";

/** Method names of the messages. */
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
  /** Whether the entry is configured to become a voter. */
  wantsVote: v.boolean(),
  /**
   * Index of the last log entry before those that the follower requests. The
   * follower holds this log entry durably.
   */
  prevIndex: v.number(),
  /** Term of the log entry at `prevIndex`. */
  prevTerm: v.number(),
  commitIndex: v.number(),
  revision: v.number(),
  /** Follower's monotonic time at which it sends this pull, in milliseconds. */
  askMs: v.number(),
  /**
   * Echoed timestamp (`stampMs`) of the last response from the leader of
   * `echoTerm`, in milliseconds.
   */
  echoMs: v.number(),
  echoTerm: v.number(),
  /** Requests a response as soon as a quorum has confirmed the leader. */
  isHurried: v.boolean(),
});

/** A follower's request for log entries; it also acknowledges those it holds. */
export type PullRequest = v.InferOutput<typeof pullRequestSchema>;

const commonResponseFields = {
  term: v.number(),
  /** Leader's monotonic time of this response, in milliseconds. */
  stampMs: v.number(),
  commitIndex: v.number(),
  /** `askMs` of the newest pull after which a quorum confirmed the leader. */
  confirmedAskMs: v.optional(v.number()),
};

/** Schema of a log entry in a message. */
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
    /**
     * Index of the leader's last log entry that has at most the index
     * `prevIndex` and at most the term `prevTerm`.
     */
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

/** The leader's response to a pull. */
export type PullResponse = v.InferOutput<typeof pullResponseSchema>;

/** Schema of {@link VoteRequest}. */
export const voteRequestSchema = v.object({
  term: v.number(),
  /** Whether the candidate only checks that the vote would be granted. */
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

/** A voter's response to a request for a vote. */
export type VoteResponse = v.InferOutput<typeof voteResponseSchema>;

/** Schema of the message with which a new leader announces itself. */
export const leaderAnnouncementSchema = v.object({ term: v.number() });

/** Schema of the message with which a leader announces that it resigned. */
export const resignationSchema = v.object({
  /** The term that the leader led. */
  term: v.number(),
});

/** Schema of {@link ProbeResponse}. */
export const probeResponseSchema = v.object({
  storeId: v.string(),
  /** Whether the data folder holds nothing that a deployment relies on. */
  isBlank: v.boolean(),
  /** Whether the entry may bootstrap a new deployment. */
  mayBootstrap: v.optional(v.boolean(), true),
});

/** What an initial voter reports of its data folder before bootstrapping. */
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

/** Schema of the detail of a `notLeader` failure. */
export const leaderHintSchema = v.object({
  leaderId: v.optional(v.string()),
  term: v.number(),
});

/** Schema of the list of all entries of the deployment. */
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
