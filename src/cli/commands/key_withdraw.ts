/** `cardamomsill key withdraw NAME`: revokes a key. */
import { Command, Option } from "clipanion";
import { Result } from "true-myth";
import type { Failure, Resource } from "../../domain/index.ts";
import type { ApiClient } from "../api/index.ts";
import { ApiCommand, type CommandOutput } from "../api_command.ts";
import { changeResource } from "../change_resource.ts";

/** Revokes a key by setting its field `withdrawn`. */
export class KeyWithdrawCommand extends ApiCommand {
  static override paths = [["key", "withdraw"]];
  static override usage = Command.Usage({
    description: "Withdraw a key: it stops working everywhere within seconds.",
    examples: [["Withdraw", "cardamomsill key withdraw fitting-1"]],
  });

  name = Option.String({ required: true });

  override async run(
    client: ApiClient,
  ): Promise<Result<CommandOutput, Failure>> {
    const accepted = await changeResource(client, {
      kind: "key",
      name: this.name,
      operationId: this.createOperationId(),
      edit: (resource) =>
        Result.ok({ ...resource, withdrawn: true } as Resource),
    });
    return accepted.map((value) => ({
      value,
      text: `key/${this.name} is withdrawn in revision ${value.revision}\n`,
    }));
  }
}
