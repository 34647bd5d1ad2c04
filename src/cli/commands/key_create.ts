/** `cardamomsill key create NAME`: creates a key and shows its secret once. */
import { Command, Option } from "clipanion";
import { Result } from "true-myth";
import type { Failure } from "../../domain/index.ts";
import {
  type ApiClient,
  createdKeySchema,
  statusSchema,
} from "../api/index.ts";
import { ApiCommand, type CommandOutput } from "../api_command.ts";

/** Creates a key of an operator or a team. */
export class KeyCreateCommand extends ApiCommand {
  static override paths = [["key", "create"]];
  static override usage = Command.Usage({
    description: "Create a key and show its secret; it cannot be shown again.",
    examples: [
      ["A team's key", "cardamomsill key create fitting-1 --team fitting"],
      ["An operator's key", "cardamomsill key create night-shift"],
    ],
  });

  name = Option.String({ required: true });
  team = Option.String("--team", {
    description: "Team of the key; if omitted, the key is an operator's key",
  });

  override async run(
    client: ApiClient,
  ): Promise<Result<CommandOutput, Failure>> {
    const status = await client.get("/v1/status", statusSchema);
    if (status.isErr) {
      return Result.err(status.error);
    }
    const created = await client.post("/v1/keys", {
      name: this.name,
      role: this.team === undefined ? "operator" : "team",
      ...(this.team === undefined ? {} : { team: this.team }),
      operationId: this.createOperationId(),
      expectedRevision: status.value.revision,
    }, createdKeySchema);
    return created.map((value) => ({ value, text: `${value.secret}\n` }));
  }
}
