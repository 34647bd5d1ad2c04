/** Messages between entries and the permit coordinator. */
import * as v from "valibot";
import { announcementSchema } from "../../domain/index.ts";

/** Method by which an entry sends a {@link PermitReport}. */
export const REPORT_METHOD = "permits.report";
/** Method by which the coordinator sends a {@link PermitPush}. */
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
  /** Sequence number of the return within one run of the entry's process. */
  returnNumber: countSchema,
  /** False when the last attempt may still run. */
  ended: v.boolean(),
  /** Number of attempts that the entry started under the permit. */
  attemptCount: countSchema,
});

/** Schema of {@link PermitWant}. */
export const permitWantSchema = v.object({
  team: v.string(),
  queue: v.string(),
  /** Number of waiting requests. */
  count: countSchema,
  /** How long the oldest of them has waited. */
  oldestWaitMs: durationMsSchema,
  excludedBackendIds: v.array(v.string()),
});

/** Schema of {@link RelayedAnnouncement}. */
export const relayedAnnouncementSchema = v.object({
  announcement: announcementSchema,
  /** Time from the announcement's arrival at the entry until the report. */
  ageMs: durationMsSchema,
});

/** Schema of {@link PermitReport}. */
export const permitReportSchema = v.object({
  /** Wall-clock start time of the entry's process, which identifies the run. */
  runStartedAtMs: v.number(),
  /** Sequence number of the report; increases with every report of a run. */
  sequence: countSchema,
  /** Session that the report continues; without it, a new session is opened. */
  sessionId: v.optional(v.string()),
  /** All permits of the entry; only in a report that opens a session. */
  held: v.optional(
    v.pipe(v.array(heldPermitSchema), v.maxLength(MAX_LIST_LENGTH)),
    [],
  ),
  /** Highest grant number that the entry has received in this session. */
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
  /** Version of the set of backend servers that the entry knows. */
  membershipVersion: countSchema,
  /** Time since the entry received the last reply, in milliseconds. */
  sinceReplyMs: durationMsSchema,
  /** Time from that reply, on the coordinator's steady clock. */
  repliedAtMs: v.number(),
});

/** Schema of {@link TeamExcess}. */
export const teamExcessSchema = v.object({
  team: v.string(),
  /** Fraction of its permits that the team should return, from 0 to 1. */
  fraction: v.pipe(v.number(), v.minValue(0), v.maxValue(1)),
});

/** Schema of {@link PermitGrant}. */
export const permitGrantSchema = v.object({
  ...heldPermitSchema.entries,
  /** Sequence number of the grant within the session. */
  grantNumber: countSchema,
  zone: v.string(),
  /** The team's limit at the time of the grant; undefined without a limit. */
  maxRunningCount: v.optional(countSchema),
  backend: announcementSchema,
});

/** Schema of {@link PermitReply}. */
export const permitReplySchema = v.object({
  sessionId: v.string(),
  /** True when the entry must open a new session. */
  mustReopen: v.boolean(),
  /** Time of the reply on the coordinator's steady clock. */
  repliedAtMs: v.number(),
  /** How long the entry may start attempts after it sent the report. */
  leaseMs: durationMsSchema,
  /** Highest return number that the coordinator received in this session. */
  acknowledgedReturn: countSchema,
  grants: v.array(permitGrantSchema),
  /** Teams in the entry's wants that have reached their limits. */
  limitedTeams: v.array(v.string()),
  /** Queues in the entry's wants for which no backend server accepts work. */
  unservedQueues: v.array(v.string()),
  /** Whether requests wait for a permit on any entry. */
  contended: v.boolean(),
  /** Teams that hold more than their share while other teams wait. */
  excesses: v.array(teamExcessSchema),
  /**
   * True while a new coordinator still finds out which attempts run. Meanwhile
   * it grants no slot of a backend server that it has not verified, and entries
   * keep the permits that they hold.
   */
  takingOver: v.boolean(),
  membershipVersion: countSchema,
  /** Backend servers added or changed since the version in the report. */
  members: v.array(announcementSchema),
  /** Backend servers that stopped announcing themselves since that version. */
  silentBackendIds: v.array(v.string()),
  /** Backend servers that are leaving and get no more attempts. */
  leavingBackendIds: v.array(v.string()),
});

/** Schema of {@link PermitPush}. */
export const permitPushSchema = v.object({
  sessionId: v.string(),
  grants: v.array(permitGrantSchema),
});

/** A permit that an entry holds, as it reports it to the coordinator. */
export type HeldPermit = v.InferOutput<typeof heldPermitSchema>;
/** A permit that an entry returns to the coordinator. */
export type ReturnedPermit = v.InferOutput<typeof returnedPermitSchema>;
/**
 * Waiting requests of one team and queue on one entry that exclude the same
 * backend servers.
 */
export type PermitWant = v.InferOutput<typeof permitWantSchema>;
/** An announcement that an entry forwards to the coordinator. */
export type RelayedAnnouncement = v.InferOutput<
  typeof relayedAnnouncementSchema
>;
/** Report of an entry: waiting requests, returned permits and announcements. */
export type PermitReport = v.InferOutput<typeof permitReportSchema>;
/** Excess of a team that holds more than its share of the permits. */
export type TeamExcess = v.InferOutput<typeof teamExcessSchema>;
/** A permit that the coordinator grants to an entry. */
export type PermitGrant = v.InferOutput<typeof permitGrantSchema>;
/** Reply of the coordinator to a report. */
export type PermitReply = v.InferOutput<typeof permitReplySchema>;
/** Grants that the coordinator sends to an entry between reports. */
export type PermitPush = v.InferOutput<typeof permitPushSchema>;
