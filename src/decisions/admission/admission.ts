/** Decides whether a request may use the queue that it names. */
import { Result } from "true-myth";
import {
  createFailure,
  type DecisionCause,
  type Failure,
  type Queue,
  type StoredResource,
  type Team,
} from "../../domain/index.ts";
import type { Secrets } from "../../ports/index.ts";
import { createCause, type FleetIndex } from "../fleet/index.ts";

/** Team name for requests without a key, on queues that are open to all. */
export const ANONYMOUS_TEAM = "anonymous";

/** Queue and key of a request that asks for admission. */
export interface AdmissionRequest {
  readonly queueName: string;
  /** Secret of the key that came with the request, if any. */
  readonly secret: string | undefined;
}

/** A request that may use its queue. */
export interface Admission {
  /**
   * The team whose key came with the request; undefined on an open queue
   * without a key.
   */
  readonly team: Team | undefined;
  readonly teamName: string;
  readonly queue: Queue;
  /** Names of the pools that may run it, in order of preference. */
  readonly poolNames: readonly string[];
  readonly causes: readonly DecisionCause[];
}

/** A refusal, with the labels, selectors, keys and limits that caused it. */
export interface Refusal {
  readonly failure: Failure;
  readonly teamName: string;
  readonly subjects: readonly string[];
  readonly causes: readonly DecisionCause[];
  readonly rejected: readonly string[];
}

/** Decides which requests may use a queue. */
export interface AdmissionPolicy {
  /**
   * Decides whether a request may use its queue.
   *
   * @param index - The configuration in force.
   * @param request - The name of the queue and the secret.
   * @returns The admission, or the refusal with its causes.
   */
  admit(
    index: FleetIndex,
    request: AdmissionRequest,
  ): Result<Admission, Refusal>;
}

/** Admits requests by key, team limit, binding and selectors. */
export class LabelAdmissionPolicy implements AdmissionPolicy {
  readonly #secrets: Secrets;

  constructor(secrets: Secrets) {
    this.#secrets = secrets;
  }

  admit(
    index: FleetIndex,
    request: AdmissionRequest,
  ): Result<Admission, Refusal> {
    const queue = index.findQueue(request.queueName);
    if (queue === undefined) {
      return refuse("notFound", `queue/${request.queueName} does not exist`, {
        remedy: "list the queues with 'cardamomsill get queue'",
      });
    }
    if (request.secret === undefined) {
      return this.#admitWithoutKey(index, queue);
    }
    return this.#admitWithKey(index, queue, request.secret);
  }

  #admitWithoutKey(
    index: FleetIndex,
    queue: StoredResource<Queue>,
  ): Result<Admission, Refusal> {
    const cause = createCause(
      queue,
      "openToAll",
      String(queue.resource.openToAll),
    );
    if (!queue.resource.openToAll) {
      return refuse(
        "unauthenticated",
        `queue/${queue.resource.name} needs a team's key`,
        {
          remedy: "send the key as 'authorization: Bearer KEY'",
          causes: [cause],
          queue,
        },
      );
    }
    return admitToPools(index, { queue, team: undefined, causes: [cause] });
  }

  #admitWithKey(
    index: FleetIndex,
    queue: StoredResource<Queue>,
    secret: string,
  ): Result<Admission, Refusal> {
    const digest = this.#secrets.digest(secret);
    const key = index.findKey(digest);
    const isKnown = key !== undefined &&
      this.#secrets.equals(key.resource.digest, digest);
    if (!isKnown || key.resource.role !== "team") {
      return refuse("unauthenticated", "the key is not a team's key", {
        remedy: "ask an operator for a key",
        queue,
      });
    }
    const keyCause = createCause(
      key,
      "withdrawn",
      String(key.resource.withdrawn),
    );
    if (key.resource.withdrawn) {
      return refuse(
        "unauthenticated",
        `key/${key.resource.name} is withdrawn`,
        {
          remedy: "ask an operator for a new key",
          causes: [keyCause],
          queue,
          teamName: key.resource.team ?? ANONYMOUS_TEAM,
        },
      );
    }
    const team = index.findTeam(key.resource.team ?? "");
    if (team === undefined) {
      return refuse(
        "forbidden",
        `team/${key.resource.team} of key/${key.resource.name} does not exist`,
        {
          causes: [keyCause],
          queue,
        },
      );
    }
    return admitTeam(index, { queue, team, causes: [keyCause] });
  }
}

interface RefuseOptions {
  readonly remedy?: string;
  readonly causes?: readonly DecisionCause[];
  readonly queue?: StoredResource<Queue>;
  readonly teamName?: string;
  readonly rejected?: readonly string[];
}

interface AdmitOptions {
  readonly queue: StoredResource<Queue>;
  readonly team: StoredResource<Team> | undefined;
  readonly causes: readonly DecisionCause[];
}

function admitTeam(
  index: FleetIndex,
  options: AdmitOptions & { readonly team: StoredResource<Team> },
): Result<Admission, Refusal> {
  const { queue, team, causes } = options;
  const limitCause = createCause(
    team,
    "maxRunningCount",
    String(team.resource.maxRunningCount),
  );
  if (team.resource.maxRunningCount === 0) {
    return refuse(
      "neverRunnable",
      `team/${team.resource.name} has an upper limit of 0`,
      {
        remedy: "ask an operator to raise the team's maxRunningCount",
        causes: [limitCause],
        queue,
        teamName: team.resource.name,
      },
    );
  }
  if (queue.resource.openToAll) {
    return admitToPools(index, options);
  }
  const binding = index.findBinding(team.resource, queue.resource);
  if (binding === undefined) {
    return refuse(
      "forbidden",
      `no binding lets team/${team.resource.name} use queue/${queue.resource.name}`,
      {
        remedy: "ask an operator to label the team or to widen a binding",
        causes: [
          ...causes,
          createCause(team, "labels", JSON.stringify(team.resource.labels)),
          createCause(queue, "labels", JSON.stringify(queue.resource.labels)),
        ],
        queue,
        teamName: team.resource.name,
      },
    );
  }
  const bindingCause = createCause(
    binding,
    "teamSelector",
    JSON.stringify(binding.resource.teamSelector),
  );
  return admitToPools(index, { ...options, causes: [...causes, bindingCause] });
}

function admitToPools(
  index: FleetIndex,
  options: AdmitOptions,
): Result<Admission, Refusal> {
  const { queue, team, causes } = options;
  const selectorCause = createCause(
    queue,
    "poolSelector",
    JSON.stringify(queue.resource.poolSelector),
  );
  const teamName = team?.resource.name ?? ANONYMOUS_TEAM;
  const pools = index.listPools(queue.resource);
  if (pools.length === 0) {
    return refuse(
      "neverRunnable",
      `no pool matches the selector of queue/${queue.resource.name}`,
      {
        remedy:
          "ask an operator to label a pool or to change the queue's poolSelector",
        causes: [selectorCause],
        queue,
        teamName,
      },
    );
  }
  return Result.ok({
    team: team?.resource,
    teamName,
    queue: queue.resource,
    poolNames: pools.map(({ resource }) => resource.name),
    causes: [...causes, selectorCause],
  });
}

function refuse(
  kind: Failure["kind"],
  message: string,
  options: RefuseOptions,
): Result<Admission, Refusal> {
  const {
    remedy,
    causes = [],
    queue,
    teamName = ANONYMOUS_TEAM,
    rejected = [],
  } = options;
  const subjects = queue === undefined ? [] : [`queue/${queue.resource.name}`];
  if (teamName !== ANONYMOUS_TEAM) {
    subjects.push(`team/${teamName}`);
  }
  const failure = createFailure(
    kind,
    message,
    remedy === undefined ? {} : { remedy },
  );
  return Result.err({ failure, teamName, subjects, causes, rejected });
}
