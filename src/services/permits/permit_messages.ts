/** Messages between entries and the permit coordinator. */
import * as v from "valibot";
import { announcementSchema } from "../../domain/index.ts";

/** Message by which an entry reports to the coordinator. */
export const REPORT_METHOD = "permits.report";
/** Message by which the coordinator hands grants to an entry. */
export const GRANT_METHOD = "permits.grant";

const MAX_LIST_LENGTH = 100_000;

const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0));
const durationMsSchema = v.pipe(v.number(), v.minValue(0));

/** Schema of {@link HeldPermit}. */
export const heldPermitSchema = v.object({
  permitId: v.string(),
  team: v.string(),
  queue: v.string(),
  pool: v.string(),
  backendServerId: v.string(),
  runLeaseMs: durationMsSchema,
});

/** Schema of {@link ReturnedPermit}. */
export const returnedPermitSchema = v.object({
  ...heldPermitSchema.entries,
  /** Counts the returns of one run of an entry. */
  returnNumber: countSchema,
  /** False when the last attempt may still run. */
  ended: v.boolean(),
  attemptCount: countSchema,
});

/** Schema of {@link PermitWant}. */
export const permitWantSchema = v.object({
  team: v.string(),
  queue: v.string(),
  count: countSchema,
  oldestWaitMs: durationMsSchema,
  excludedBackendIds: v.array(v.string()),
});

/** Schema of {@link RelayedAnnouncement}. */
export const relayedAnnouncementSchema = v.object({
  announcement: announcementSchema,
  ageMs: durationMsSchema,
});

/** Schema of {@link PermitReport}. */
export const permitReportSchema = v.object({
  /** Wall-clock time at which the entry's process started; names its run. */
  runStartedAtMs: v.number(),
  /** Grows with every report of a run. */
  sequence: countSchema,
  /** The session that the report continues; none opens a new one. */
  sessionId: v.optional(v.string()),
  /** All permits of the entry; only with a report that opens a session. */
  held: v.optional(
    v.pipe(v.array(heldPermitSchema), v.maxLength(MAX_LIST_LENGTH)),
    [],
  ),
  /** Highest number of a grant that has arrived in this session. */
  acknowledgedGrant: countSchema,
  returns: v.pipe(
    v.array(returnedPermitSchema),
    v.maxLength(MAX_LIST_LENGTH),
  ),
  wants: v.pipe(v.array(permitWantSchema), v.maxLength(MAX_LIST_LENGTH)),
  announcements: v.pipe(
    v.array(relayedAnnouncementSchema),
    v.maxLength(MAX_LIST_LENGTH),
  ),
  /** Version of the set of backend servers that the entry has. */
  membershipVersion: countSchema,
  /** Time since the last answer arrived, in milliseconds. */
  sinceReplyMs: durationMsSchema,
  /** Time of the coordinator in that answer, on its own monotonic clock. */
  repliedAtMs: v.number(),
});

/** Schema of {@link TeamExcess}. */
export const teamExcessSchema = v.object({
  team: v.string(),
  /** Part of its places that the team should give up, from 0 to 1. */
  fraction: v.pipe(v.number(), v.minValue(0), v.maxValue(1)),
});

/** Schema of {@link PermitGrant}. */
export const permitGrantSchema = v.object({
  ...heldPermitSchema.entries,
  /** Counts the grants of one session. */
  grantNumber: countSchema,
  zone: v.string(),
  /** The team's upper limit at the time; undefined without a limit. */
  maxRunningCount: v.optional(countSchema),
  backend: announcementSchema,
});

/** Schema of {@link PermitReply}. */
export const permitReplySchema = v.object({
  sessionId: v.string(),
  /** True when the entry must open a new session. */
  mustReopen: v.boolean(),
  repliedAtMs: v.number(),
  leaseMs: durationMsSchema,
  acknowledgedReturn: countSchema,
  grants: v.array(permitGrantSchema),
  /** Teams of the entry's wants that are at their upper limits. */
  limitedTeams: v.array(v.string()),
  /** Queues of the entry's wants for which no backend server is open. */
  unservedQueues: v.array(v.string()),
  /** Whether requests of any entry wait for a permit. */
  contended: v.boolean(),
  /** Teams that hold more than their share while others wait. */
  excesses: v.array(teamExcessSchema),
  /** True while a new coordinator grants nothing; entries keep what they have. */
  takingOver: v.boolean(),
  membershipVersion: countSchema,
  /** Backend servers that are new or changed since the report's version. */
  members: v.array(announcementSchema),
  /** Backend servers that have gone silent since. */
  silentBackendIds: v.array(v.string()),
  /** Backend servers that get nothing more. */
  leavingBackendIds: v.array(v.string()),
});

/** Schema of {@link PermitPush}. */
export const permitPushSchema = v.object({
  sessionId: v.string(),
  grants: v.array(permitGrantSchema),
});

/** A permit as its entry reports it. */
export type HeldPermit = v.InferOutput<typeof heldPermitSchema>;
/** A permit that an entry gives back. */
export type ReturnedPermit = v.InferOutput<typeof returnedPermitSchema>;
/** Requests of one team and queue that wait on an entry. */
export type PermitWant = v.InferOutput<typeof permitWantSchema>;
/** An announcement as one entry passes it on. */
export type RelayedAnnouncement = v.InferOutput<
  typeof relayedAnnouncementSchema
>;
/** What an entry tells the coordinator. */
export type PermitReport = v.InferOutput<typeof permitReportSchema>;
/** By how much a team holds more than its share. */
export type TeamExcess = v.InferOutput<typeof teamExcessSchema>;
/** A permit as the coordinator grants it. */
export type PermitGrant = v.InferOutput<typeof permitGrantSchema>;
/** What the coordinator answers to a report. */
export type PermitReply = v.InferOutput<typeof permitReplySchema>;
/** Grants that the coordinator sends between reports. */
export type PermitPush = v.InferOutput<typeof permitPushSchema>;
