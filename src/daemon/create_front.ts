/** Composes the HTTP front end. */
import { resolve } from "node:path";
import {
  addBackendRoutes,
  addCallerRoutes,
  addEntryRoutes,
  addHealthRoutes,
  addOperatorRoutes,
  addPlanRoutes,
  HttpServer,
} from "../adapters/http/index.ts";
import {
  ExplainService,
  FleetExplainer,
  OperatorService,
  PlanService,
  StateDescriber,
} from "../services/index.ts";
import type { ControllerParts } from "./create_controller.ts";
import type { PermitParts } from "./create_permits.ts";
import type { RequestParts } from "./create_requests.ts";
import type { EntryContext } from "./entry_context.ts";
import { loadOperatorKey } from "./operator_key.ts";

/** Options of {@link createFront}. */
export interface FrontOptions {
  readonly context: EntryContext;
  readonly permitParts: PermitParts;
  readonly requestParts: RequestParts;
  readonly controllerParts: ControllerParts;
  /** Tells whether the entry has begun its planned stop. */
  readonly isStopping: () => boolean;
}

/**
 * Creates the HTTP server with all routes; it does not listen yet.
 *
 * @param options - The parts that the routes reach.
 * @returns The server.
 */
export async function createFront(options: FrontOptions): Promise<HttpServer> {
  const { context, permitParts, requestParts, controllerParts, isStopping } =
    options;
  const { settings, secrets } = context;
  const bootstrapDigest = await loadOperatorKey({
    file: resolve(settings.dataFolder ?? ".", settings.operatorKeyFile),
    // An entry without a disk has no place to keep a new key.
    mayCreate: settings.dataFolder !== null,
    secrets,
  });
  const operators = new OperatorService({ ...context, bootstrapDigest });
  const present = new StateDescriber({ ...context, ...controllerParts });
  const explainer = new FleetExplainer({
    local: new ExplainService({ ...context, ...requestParts, states: present }),
    network: context.network,
    peerIds: settings.peers.map(({ entryId }) => entryId),
  });
  const plans = new PlanService({ ...context, ...controllerParts });
  const server = new HttpServer({ ...context, ...settings.http });
  addCallerRoutes(server, { ...context, ...requestParts });
  addBackendRoutes(server, permitParts);
  addOperatorRoutes(server, { ...context, operators, explainer });
  addPlanRoutes(server, { operators, plans });
  addEntryRoutes(server, { operators, entries: context.entries });
  addHealthRoutes(server, { ...context, ...permitParts, isStopping });
  return server;
}
