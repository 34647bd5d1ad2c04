/**
 * Entry point of the process that runs all relays of a deployment.
 *
 * The relays have a process of their own, so that a busy test process does not
 * delay the messages between entries.
 */
import process from "node:process";
import * as v from "valibot";
import { DeploymentNetwork } from "./deployment_network.ts";
import {
  type RelayAnswer,
  type RelayRequest,
  relayRequestSchema,
} from "./relay_messages.ts";

let network = new DeploymentNetwork();

async function handleRequest(request: RelayRequest): Promise<RelayAnswer> {
  switch (request.type) {
    case "start":
      network = await DeploymentNetwork.start(request.entries, request.delayMs);
      return { ports: network.listPorts() };
    case "isolate":
      network.isolate(request.entryId);
      return {};
    case "cutOneWay":
      network.cutOneWay(request.sender, request.receiver);
      return {};
    case "heal":
      network.heal();
      return {};
    case "countBytes":
      return { byteCount: network.countBytes(request.entryId) };
  }
}

async function serve(message: unknown): Promise<void> {
  process.send?.(await handleRequest(v.parse(relayRequestSchema, message)));
}

process.on("message", (message) => {
  serve(message).catch(() => process.exit(1));
});
// The test process has ended.
process.once("disconnect", () => process.exit(0));
