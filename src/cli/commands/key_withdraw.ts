/** `cardamomsill key withdraw NAME`: makes a key stop working. */
import { Command, Option } from "clipanion";
import { Result } from "true-myth";
import { acceptedChangeSchema, type Failure } from "../../domain/index.ts";
import {
  type ApiClient,
  statusSchema,
  storedResourceSchema,
} from "../api/index.ts";
import { ApiCommand, type CommandOutput } from "../api_command.ts";

/** Withdraws a key. */
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
    const status = await client.get("/v1/status", statusSchema);
    const stored = await client.get(
      `/v1/resources/key/${this.name}`,
      storedResourceSchema,
    );
    if (status.isErr) {
      return Result.err(status.error);
    }
    if (stored.isErr) {
      return Result.err(stored.error);
    }
    const accepted = await client.post("/v1/changes", {
      operationId: this.createOperationId(),
      expectedRevision: status.value.revision,
      puts: [{ ...stored.value.resource, withdrawn: true }],
    }, acceptedChangeSchema);
    return accepted.map((value) => ({
      value,
      text: `key/${this.name} is withdrawn in revision ${value.revision}\n`,
    }));
  }
}
