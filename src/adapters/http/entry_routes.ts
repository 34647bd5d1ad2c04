/** Routes about the entries: the revision in force at each, and the voters. */
import { validateWith } from "../../domain/index.ts";
import { type EntryDirectory, voterChangeSchema } from "../../ports/index.ts";
import type { OperatorService } from "../../services/index.ts";
import {
  type Exchange,
  readBearerToken,
  readJson,
  sendFailure,
  sendResult,
} from "./exchange.ts";
import type { HttpServer } from "./http_server.ts";

const MAX_BODY_BYTES = 1_024;

/** Options of {@link addEntryRoutes}. */
export interface EntryRoutesOptions {
  readonly operators: OperatorService;
  readonly entries: EntryDirectory;
}

/**
 * Adds `/v1/entries` and `/v1/voters`.
 *
 * @param server - The entry's HTTP server.
 * @param options - The service that authenticates operators, and the directory
 * that lists the entries and changes the voters.
 */
export function addEntryRoutes(
  server: HttpServer,
  options: EntryRoutesOptions,
): void {
  const { entries } = options;
  server.route(["GET"], "/v1/entries", async (exchange) => {
    if (authenticate(exchange, options)) {
      sendResult(exchange.response, await entries.listEntries());
    }
  });
  server.route(["POST"], "/v1/voters", async (exchange) => {
    if (authenticate(exchange, options)) {
      await changeVoter(exchange, options);
    }
  });
}

function authenticate(
  { request, response }: Exchange,
  { operators }: EntryRoutesOptions,
): boolean {
  const operator = operators.authenticate(readBearerToken(request));
  if (operator.isErr) {
    sendFailure(response, operator.error);
  }
  return operator.isOk;
}

async function changeVoter(
  exchange: Exchange,
  { entries }: EntryRoutesOptions,
): Promise<void> {
  const { response } = exchange;
  const body = await readJson(exchange, MAX_BODY_BYTES);
  const change = body.andThen((value) =>
    validateWith(voterChangeSchema, value, { subject: "change of a voter" })
  );
  if (change.isErr) {
    sendFailure(response, change.error);
    return;
  }
  sendResult(response, await entries.changeVoter(change.value));
}
