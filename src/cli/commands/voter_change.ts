/** `cardamomsill voter add|remove ENTRY`: changes which entries vote. */
import { Command, Option } from "clipanion";
import type { Result } from "true-myth";
import type { Failure } from "../../domain/index.ts";
import { type ApiClient, entryListSchema } from "../api/index.ts";
import { ApiCommand, type CommandOutput } from "../api_command.ts";
import { renderEntries } from "./entries.ts";

/** Makes an entry a voter, which takes effect once it has caught up. */
export class VoterAddCommand extends ApiCommand {
  static override paths = [["voter", "add"]];
  static override usage = Command.Usage({
    description: "Make an entry with a disk a voter, once it has caught up.",
    examples: [["Add a voter", "cardamomsill voter add entry-4"]],
  });

  entryId = Option.String({ required: true });

  override async run(
    client: ApiClient,
  ): Promise<Result<CommandOutput, Failure>> {
    return await changeVoter(client, "add", this.entryId);
  }
}

/** Removes an entry from the voters. */
export class VoterRemoveCommand extends ApiCommand {
  static override paths = [["voter", "remove"]];
  static override usage = Command.Usage({
    description: "Remove an entry from the voters, such as one that is gone.",
    examples: [["Remove a voter", "cardamomsill voter remove entry-2"]],
  });

  entryId = Option.String({ required: true });

  override async run(
    client: ApiClient,
  ): Promise<Result<CommandOutput, Failure>> {
    return await changeVoter(client, "remove", this.entryId);
  }
}

async function changeVoter(
  client: ApiClient,
  action: "add" | "remove",
  entryId: string,
): Promise<Result<CommandOutput, Failure>> {
  const body = { action, entryId };
  const changed = await client.post("/v1/voters", body, entryListSchema);
  return changed.map((value) => ({ value, text: renderEntries(value) }));
}
