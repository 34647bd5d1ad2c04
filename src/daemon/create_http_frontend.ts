/** Composes the HTTP server for callers, operators and backend servers. */
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
import type { ControllerView } from "./create_controller.ts";
import type { PermitServices } from "./create_permit_services.ts";
import type { RequestServices } from "./create_request_services.ts";
import type { EntryContext } from "./entry_context.ts";
import { loadOperatorKey } from "./operator_key.ts";

/** Options of {@link createHttpFrontend}. */
export interface HttpFrontendOptions {
  readonly context: EntryContext;
  readonly permitServices: PermitServices;
  readonly requestServices: RequestServices;
  readonly controllerView: ControllerView;
  /** Whether the entry has begun its planned stop. */
  readonly isStopping: () => boolean;
}

/**
 * Creates the HTTP server with all routes, without listening.
 *
 * @param options - The services that the routes call.
 * @returns The server.
 * @throws Error when the operator key file cannot be read or written.
 */
export async function createHttpFrontend(
  options: HttpFrontendOptions,
): Promise<HttpServer> {
  const {
    context,
    permitServices,
    requestServices,
    controllerView,
    isStopping,
  } = options;
  const { settings, secrets } = context;
  const bootstrapDigest = await loadOperatorKey({
    file: resolve(settings.dataFolder ?? ".", settings.operatorKeyFile),
    // Without a data folder a generated key would not outlive the process.
    mayCreate: settings.dataFolder !== null,
    secrets,
  });
  const operators = new OperatorService({ ...context, bootstrapDigest });
  const states = new StateDescriber({ ...context, ...controllerView });
  const explainer = new FleetExplainer({
    local: new ExplainService({ ...context, ...requestServices, states }),
    network: context.network,
    peerIds: settings.peers.map(({ entryId }) => entryId),
  });
  const plans = new PlanService({ ...context, ...controllerView });
  const server = new HttpServer({
    ...context,
    ...settings.http,
    connectionLimits: settings.connectionLimits,
  });
  addCallerRoutes(server, { ...context, ...requestServices });
  addBackendRoutes(server, permitServices);
  addOperatorRoutes(server, { ...context, operators, explainer });
  addPlanRoutes(server, { operators, plans });
  addEntryRoutes(server, { operators, entries: context.entries });
  addHealthRoutes(server, { ...context, ...permitServices, isStopping });
  return server;
}
