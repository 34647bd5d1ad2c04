/** Handlers of scheduling messages from entries and controllers to the leader. */
import { Result } from "true-myth";
import * as v from "valibot";
import {
  createFailure,
  type Failure,
  runnerDepartureSchema,
  validateWith,
} from "../../domain/index.ts";
import type {
  Agreement,
  LeaderMetrics,
  PeerNetwork,
} from "../../ports/index.ts";
import type { JobService } from "./job_service.ts";
import { createLeaderAnswer } from "./leader_answer.ts";
import type { PlacementExplainer } from "./placement_explainer.ts";
import type { OperationsService } from "./operations_service.ts";
import type { RunnerRegistry } from "./runner_registry.ts";
import type { ScheduleExplainer } from "./schedule_explainer.ts";
import type { ZoneService } from "./zone_service.ts";

/** Names of the messages. */
export const SCHEDULING_METHODS = {
  job: "scheduling.job",
  announce: "scheduling.announce",
  contacts: "scheduling.contacts",
  leave: "scheduling.leave",
  replaceCatalog: "scheduling.replaceCatalog",
  readCatalog: "scheduling.readCatalog",
  zoneTicket: "scheduling.zoneTicket",
  setZone: "scheduling.setZone",
  startWave: "scheduling.startWave",
  readWave: "scheduling.readWave",
  list: "scheduling.list",
  explain: "scheduling.explain",
  explainPlacement: "scheduling.explainPlacement",
  ping: "scheduling.ping",
} as const;

/** Schema of {@link LeaderPing}. */
export const leaderPingSchema = v.object({
  /** Ids of the voters and learners of the newest membership. */
  controllerIds: v.array(v.string()),
  hasCatalog: v.boolean(),
});

/** The leader's answer to the ping of an entry. */
export type LeaderPing = v.InferOutput<typeof leaderPingSchema>;

const contactsSchema = v.object({
  runners: v.array(v.object({ runnerId: v.string(), bornAtMs: v.number() })),
});

type Answer = Result<unknown, Failure> | Promise<Result<unknown, Failure>>;

/** Options of {@link addSchedulingHandlers}. */
export interface SchedulingHandlersOptions {
  readonly network: PeerNetwork;
  readonly agreement: Agreement;
  readonly metrics: Pick<LeaderMetrics, "countMessage">;
  readonly jobs: JobService;
  readonly operations: OperationsService;
  /** Returns the registry, or undefined while this entry does not lead. */
  readonly findRegistry: () => RunnerRegistry | undefined;
  /** Returns the service for zones, or undefined while this entry does not lead. */
  readonly findZones: () => ZoneService | undefined;
  /** Returns the explainer, or undefined while this entry does not lead. */
  readonly findExplainer: () => ScheduleExplainer | undefined;
  /** Returns the explainer of placements, or undefined as above. */
  readonly findPlacements: () => PlacementExplainer | undefined;
}

/** Handles the body of a message at the leader. */
export type SchedulingHandler = (body: unknown) => Promise<
  Result<unknown, Failure>
>;

/**
 * Registers the handlers of all scheduling messages. Each fails with
 * `notLeader` while this entry does not lead.
 *
 * @param options - The network, the agreement and the services that answer.
 * @returns The handlers by method, for calls within this process.
 */
export function addSchedulingHandlers(
  options: SchedulingHandlersOptions,
): ReadonlyMap<string, SchedulingHandler> {
  const { network, agreement, jobs, metrics, operations } = options;
  const { findExplainer, findRegistry, findZones } = options;
  const handlers = new Map<string, SchedulingHandler>();
  const add = (method: string, answer: (body: unknown) => Answer) => {
    const handler = async (body: unknown) => {
      if (agreement.status().leaderSinceMs === undefined) {
        return Result.err<unknown, Failure>(createNotLeader(agreement));
      }
      metrics.countMessage(method);
      return await answer(body);
    };
    handlers.set(method, handler);
    network.handle(method, async (_peerId, body) => {
      const { leaderSinceMs, term } = agreement.status();
      return leaderSinceMs === undefined
        ? Result.err<unknown, Failure>(createNotLeader(agreement))
        : Result.ok<unknown, Failure>(
          createLeaderAnswer(term, await handler(body)),
        );
    });
  };
  add(SCHEDULING_METHODS.job, (body) => jobs.answer(body));
  add(
    SCHEDULING_METHODS.replaceCatalog,
    (body) => operations.replaceCatalog(body),
  );
  add(SCHEDULING_METHODS.readCatalog, () => operations.readCatalog());
  add(SCHEDULING_METHODS.zoneTicket, () => {
    const zones = findZones();
    return zones === undefined
      ? Result.err(createNotLeader(agreement))
      : Result.ok(zones.issueTicket());
  });
  add(
    SCHEDULING_METHODS.setZone,
    (body) =>
      findZones()?.setZone(body) ?? Result.err(createNotLeader(agreement)),
  );
  add(SCHEDULING_METHODS.startWave, (body) => operations.startWave(body));
  add(SCHEDULING_METHODS.readWave, (body) => operations.readWave(body));
  add(
    SCHEDULING_METHODS.list,
    (body) =>
      findExplainer()?.list(body) ?? Result.err(createNotLeader(agreement)),
  );
  add(
    SCHEDULING_METHODS.explain,
    (body) =>
      findExplainer()?.explain(body) ?? Result.err(createNotLeader(agreement)),
  );
  add(
    SCHEDULING_METHODS.explainPlacement,
    (body) =>
      options.findPlacements()?.explain(body) ??
        Result.err(createNotLeader(agreement)),
  );
  add(SCHEDULING_METHODS.ping, () => createPing(agreement));
  add(
    SCHEDULING_METHODS.announce,
    (body) =>
      findRegistry()?.announce(body) ?? Result.err(createNotLeader(agreement)),
  );
  add(
    SCHEDULING_METHODS.contacts,
    (body) =>
      validateWith(contactsSchema, body, { subject: "contacts" })
        .map(({ runners }) => {
          findRegistry()?.recordContacts(runners);
          return {};
        }),
  );
  add(
    SCHEDULING_METHODS.leave,
    (body) =>
      validateWith(runnerDepartureSchema, body, { subject: "departure" })
        .andThen((departure) =>
          findRegistry()?.leave(departure) ??
            Result.err<unknown, Failure>(createNotLeader(agreement))
        ),
  );
  return handlers;
}

function createPing(agreement: Agreement): Result<LeaderPing, Failure> {
  const { membership, scheduling } = agreement.state;
  const members = [...membership.voters, ...membership.learners];
  return Result.ok({
    controllerIds: members.map(({ entryId }) => entryId),
    hasCatalog: scheduling.catalog.version >= 0,
  });
}

function createNotLeader(agreement: Agreement): Failure {
  const { entryId, leaderId, term } = agreement.status();
  return createFailure("notLeader", `controller ${entryId} does not lead`, {
    remedy: "call the leader, or wait until one is elected",
    detail: { leaderId, term },
  });
}
