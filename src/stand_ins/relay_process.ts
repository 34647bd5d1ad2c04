/**
 * The process that carries all relays of a deployment, so that a busy test
 * does not delay what the entries say to each other.
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

async function answer(request: RelayRequest): Promise<RelayAnswer> {
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
  process.send?.(await answer(v.parse(relayRequestSchema, message)));
}

process.on("message", (message) => {
  serve(message).catch(() => process.exit(1));
});
// The test has ended, in whatever way.
process.once("disconnect", () => process.exit(0));
