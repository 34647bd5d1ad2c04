import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { loadSettings, validateSettings } from "./load_settings.ts";

const BAD_SETTINGS = [
  {
    title: "broken JSON",
    text: `{\n  "entryId": "entry-1",,\n}`,
    message: /^f\.jsonc:2: PropertyNameExpected/,
  },
  { title: "an empty file", text: "", message: /^f\.jsonc:1: ValueExpected/ },
  {
    title: "an unknown setting",
    text: `{\n  // a comment\n  "entryID": "entry-1"\n}`,
    message: /^f\.jsonc:3: entryID .*no such setting/,
  },
  {
    title: "a port out of range",
    text: `{\n  "http": {\n    "port": 70000\n  }\n}`,
    message: /^f\.jsonc:3: http\.port is 70000, allowed: <=65535/,
  },
  {
    title: "a host name instead of an IP address",
    text: `{ "http": { "host": "localhost" } }`,
    message: /^f\.jsonc:1: http\.host is "localhost"/,
  },
  {
    title: "a log level that does not exist",
    text: `{ "logLevel": "loud" }`,
    message:
      /logLevel is "loud", allowed: \("debug" \| "info" \| "warn" \| "error"\)/,
  },
  {
    title: "a voter without a disk",
    text: `{ "dataFolder": null }`,
    message: /voter: a voter needs a disk/,
  },
  {
    title: "peers without a secret",
    text:
      `{ "peers": [{ "entryId": "entry-2", "host": "127.0.0.1", "port": 1, "zone": "zone-1" }] }`,
    message: /peerSecretFile: is null, but peers are set/,
  },
  {
    title: "a peer with the id of this entry",
    text: `{
      "peerSecretFile": "secret",
      "peers": [{ "entryId": "entry-1", "host": "127.0.0.1", "port": 1, "zone": "zone-1" }]
    }`,
    message: /peers: entry entry-1 is listed twice/,
  },
  {
    title: "a deployment without voters",
    text: `{ "voter": false, "dataFolder": null }`,
    message: /voter: no entry votes/,
  },
];

describe("settings", () => {
  describe("valid settings", () => {
    it("are the defaults without a file", async () => {
      const settings = await loadSettings(undefined);
      assert.ok(settings.isOk);
      assert.is(settings.value.http.port, 7_070);
      assert.is(settings.value.dataFolder, "data");
    });

    it("may contain comments and trailing commas", () => {
      const settings = validateSettings(
        `{ /* a */ "zone": "zone-b", // b\n }`,
        "f",
      );
      assert.ok(settings.isOk);
      assert.is(settings.value.zone, "zone-b");
    });
  });

  describe("invalid settings are rejected with file, line, path and remedy", () => {
    for (const { title, text, message } of BAD_SETTINGS) {
      it(title, () => {
        const settings = validateSettings(text, "f.jsonc");
        assert.ok(settings.isErr);
        assert.is(settings.error.kind, "invalidSetting");
        assert.match(settings.error.message, message);
        assert.ok(settings.error.remedy);
      });
    }

    it("a file that cannot be read", async () => {
      const settings = await loadSettings("no-such-file.jsonc");
      assert.ok(settings.isErr);
      assert.match(
        settings.error.message,
        /^no-such-file\.jsonc cannot be read/,
      );
    });
  });
});
