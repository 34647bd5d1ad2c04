/** Composes one entry: adapters, services and their tasks. */
import { Result } from "true-myth";
import type { HttpServer } from "../adapters/http/index.ts";
import type { Failure } from "../domain/index.ts";
import type { Replica } from "../replication/index.ts";
import type { ClaimService, DecisionRecorder } from "../services/index.ts";
import { createReplica } from "./create_replica.ts";
import { createController } from "./create_controller.ts";
import { createHttpFrontend } from "./create_http_frontend.ts";
import { createNetwork, startNetwork } from "./create_network.ts";
import { createPermitServices } from "./create_permit_services.ts";
import {
  createRecorder,
  createRequestServices,
  type RequestServices,
} from "./create_request_services.ts";
import {
  createEntryBase,
  createEntryContext,
  type EntryContext,
  type EntryOptions,
} from "./entry_context.ts";

/** A running entry. */
export interface Entry {
  readonly httpPort: number;
  /** Refuses readiness, lets running requests end, then ends every task. */
  stop(): Promise<void>;
}

/**
 * Starts an entry.
 *
 * @param options - Settings, logger, and what to do on a fatal failure.
 * @returns The running entry, or why it cannot start.
 */
export async function createEntry(
  options: EntryOptions,
): Promise<Result<Entry, Failure>> {
  const base = createEntryBase(options);
  const network = await createNetwork(base);
  if (network.isErr) {
    return Result.err(network.error);
  }
  const replica = await createReplica(base, network.value);
  if (replica.isErr) {
    return Result.err(replica.error);
  }
  const context = createEntryContext(base, network.value, replica.value);
  const entry = await startServices(context, replica.value);
  const listening = await startNetwork(base, network.value);
  if (listening.isErr) {
    await entry.stop();
    return Result.err(listening.error);
  }
  return Result.ok(entry);
}

async function startServices(
  context: EntryContext,
  replica: Replica,
): Promise<Entry> {
  const recorder = createRecorder(context);
  const permitServices = createPermitServices(context);
  const requestServices = createRequestServices(
    context,
    recorder,
    permitServices,
  );
  const { directory } = permitServices;
  const controllerView = await createController({
    context,
    recorder,
    directory,
  });
  let isStopping = false;
  const server = await createHttpFrontend({
    context,
    permitServices,
    requestServices,
    controllerView,
    isStopping: () => isStopping,
  });
  const httpPort = await server.start();
  context.logger.info(
    { httpPort, revision: context.agreement.state.revision },
    "the entry serves",
  );
  return {
    httpPort,
    stop: async () => {
      isStopping = true;
      await replica.transferLeadership();
      await stopEntry({ context, server, recorder, requestServices });
      // Only now does no task write any more.
      await replica.close();
    },
  };
}

interface StopOptions {
  readonly context: EntryContext;
  readonly server: HttpServer;
  readonly recorder: DecisionRecorder;
  readonly requestServices: RequestServices;
}

// Readiness is refused already: the balancer needs a moment to notice it, and
// requests that still come in that moment are served.
async function stopEntry(options: StopOptions): Promise<void> {
  const { context, server, recorder, requestServices } = options;
  const { settings, clock, logger, tasks } = context;
  server.announceStop();
  await clock.sleep(settings.readinessGraceMs);
  const cutCount = await server.drain(settings.stopDeadlineMs);
  if (cutCount > 0) {
    logger.warn(
      { cutCount, stopDeadlineMs: settings.stopDeadlineMs },
      "requests still run at the stop deadline and are cut",
    );
  }
  await flushClaims(requestServices.claims);
  await recorder.flush();
  await tasks.stop();
  await requestServices.client.close();
}

// A settlement that is lost leaves its claim to run out as unknown.
async function flushClaims(claims: ClaimService): Promise<void> {
  let isDurable = true;
  while (isDurable && claims.pendingSettlementCount > 0) {
    isDurable = await claims.flush();
  }
}
