import { execFile } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";
import type { CrowdedEntry } from "../../standins/crowdedEntryProcess";
import { ChildProcessHandle } from "../../standins/ChildProcessHandle";
import { pause } from "../../standins/pause";
import { readResidentMb } from "../../standins/readResidentMb";
import { CallerCrowd, type CrowdMember } from "../../standins/platform/CallerCrowd";

const maxResidentMb = 320; // the node and its stand-ins
const limits = { maxHeldBytes: 33_554_432, maxConnections: 1_000 };
const bodyBytes = 1_000_000;
const missingBytes = 2_000;
const settleMs = 2_000; // in which a crowd has sent what is taken from it
const samplePauseMs = 50;
const repository = join(__dirname, "..", "..");

const createHead = (path: string, fields: readonly string[]): string =>
    [
        `POST ${path} HTTP/1.1`,
        "host: h",
        "authorization: Bearer key-of-vatva-heat",
        "idempotency-key: crowd",
        ...fields,
        "\r\n",
    ].join("\r\n");

/** A body of the largest legal size with very many short messages, which are not valid. */
const createFields = (): string => {
    const message = "{\"role\":\"x\",\"content\":1},";
    const messages = message.repeat(Math.floor((bodyBytes - 100) / message.length)).slice(0, -1);
    return `{"model":"bhatti-llm","messages":[${messages}]}`;
};

const crowds: Readonly<Record<string, { count: number; create: (path: string) => CrowdMember; }>> = {
    "legal bodies that stop short": {
        count: 250,
        create: path => ({
            head: createHead(path, [`content-length: ${bodyBytes}`]),
            piece: "b".repeat(bodyBytes - missingBytes),
            pieces: 1,
        }),
    },
    "legal bodies in chunks that stop short": {
        count: 250,
        create: path => ({
            head: createHead(path, ["transfer-encoding: chunked"]),
            piece: `fa0\r\n${"b".repeat(4_000)}\r\n`,
            pieces: bodyBytes / 4_000 - 1,
        }),
    },
    "whole bodies of very many short fields": {
        count: 60,
        create: path => {
            const body = createFields();
            return {
                head: createHead(path, [`content-length: ${body.length}`]),
                piece: body,
                pieces: 1,
                isReading: false,
            };
        },
    },
};
const paths = [
    "/v1/chat/completions",
    "/v1/services/roster/bookings",
    "/v1/operators/configuration",
    "/nowhere",
    "/readyz",
];

describe("a crowd of clients of the product's own interface that don't behave", () => {
    let folder: string;
    let script: string;
    let child: ChildProcessHandle<CrowdedEntry>;
    let crowd: CallerCrowd;

    beforeAll(async () => {
        folder = mkdtempSync(join(tmpdir(), "entry-"));
        script = join(folder, "entry.js");
        const options = ["--bundle", "--platform=node", "--target=node20", "--log-level=warning"];
        await promisify(execFile)(
            "npx",
            ["esbuild", "standins/crowdedEntryProcess.ts", ...options, `--outfile=${script}`],
            { cwd: repository },
        );
    });

    afterAll(() => rmSync(folder, { recursive: true }));

    beforeEach(async () => {
        child = await ChildProcessHandle.start<CrowdedEntry>(script, [JSON.stringify(limits)]);
        crowd = new CallerCrowd();
    });

    afterEach(async () => {
        crowd.close();
        await child.stop();
    });

    const readMemoryMb = (): number => readResidentMb(child.pid);

    const isServed = async (): Promise<boolean> => {
        const response = await fetch(`http://${child.readyMessage.address}/v1/chat/completions`, {
            method: "POST",
            headers: { authorization: "Bearer key-of-rajkot-forge", connection: "close" },
            body: JSON.stringify({ model: "bhatti-llm", messages: [{ role: "user", content: "a" }] }),
        }).catch(() => undefined);
        await response?.text();
        return response?.status === 200;
    };

    // Guards against clients that end a process by making it hold more than its machine has.
    it.each(Object.keys(crowds).flatMap(kind => paths.map(path => [kind, path] as const)))(
        "%s, at %s",
        async (kind, path) => {
            const { count, create } = crowds[kind];
            crowd.add(child.readyMessage.address, create(path), count);
            let peakMb = 0;
            for (let waitedMs = 0; waitedMs < settleMs; waitedMs += samplePauseMs) {
                expect(child.hasEnded).toBe(false);
                peakMb = Math.max(peakMb, readMemoryMb());
                await pause(samplePauseMs);
            }
            expect(peakMb).toBeLessThan(maxResidentMb);
            while (!(await isServed())) {
                await pause(samplePauseMs);
            }
            expect(child.hasEnded).toBe(false);
        },
    );
});
