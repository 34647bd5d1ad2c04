/** Composes one entry from its adapters, services and background tasks. */
import { Result } from "true-myth";
import type { HttpServer } from "../adapters/http/index.ts";
import type { Failure } from "../domain/index.ts";
import type { Replica } from "../replication/index.ts";
import type { ClaimService, DecisionRecorder } from "../services/index.ts";
import { createController } from "./create_controller.ts";
import { createHttpFrontend } from "./create_http_frontend.ts";
import { createNetwork, startNetwork } from "./create_network.ts";
import { createPermitServices } from "./create_permit_services.ts";
import { createReplica } from "./create_replica.ts";
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
  /**
   * Stops the entry as planned: reports not ready, waits for running requests
   * until the stop deadline, then ends every task.
   */
  stop(): Promise<void>;
}

/**
 * Starts an entry.
 *
 * @param options - Settings, logger and the handler of fatal failures.
 * @returns The running entry, or the failure that prevents its start.
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
    "the entry serves requests",
  );
  return {
    httpPort,
    stop: async () => {
      isStopping = true;
      await replica.transferLeadership();
      await stopEntry({ context, server, recorder, requestServices });
      // The log can be closed only after the last task that writes to it.
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

/**
 * Drains the server and ends the tasks.
 *
 * The entry reports not ready before this call. The load balancer needs a
 * moment to notice, so requests that arrive within `readinessGraceMs` are still
 * served.
 */
async function stopEntry(options: StopOptions): Promise<void> {
  const { context, server, recorder, requestServices } = options;
  const { settings, clock, logger, tasks } = context;
  server.announceStop();
  await clock.sleep(settings.readinessGraceMs);
  const cutCount = await server.drain(settings.stopDeadlineMs);
  if (cutCount > 0) {
    logger.warn(
      { cutCount, stopDeadlineMs: settings.stopDeadlineMs },
      "the stop deadline has passed; running requests are cut off",
    );
  }
  await flushClaims(requestServices.claims);
  await recorder.flush();
  await tasks.stop();
  await requestServices.client.close();
}

/**
 * Writes the pending settlements of claims to the log, until a write fails.
 * The claim of a lost settlement expires with an unknown outcome.
 */
async function flushClaims(claims: ClaimService): Promise<void> {
  let isDurable = true;
  while (isDurable && claims.pendingSettlementCount > 0) {
    isDurable = await claims.flush();
  }
}
