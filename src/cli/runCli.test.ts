import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createTestCluster, testKeys } from "../../standins/createTestCluster";
import type { LocalCluster } from "../../standins/LocalCluster";
import { TestCaller } from "../../standins/TestCaller";
import { exitCodes } from "./exitCodes";
import { runCli } from "./runCli";

interface CliRun {
    readonly exitCode: number;
    readonly out: string;
    readonly errors: string;
}

describe("command line", () => {
    const folder = mkdtempSync(join(tmpdir(), "sequoiagrade-cli-"));
    let cluster: LocalCluster;

    beforeAll(async () => {
        cluster = createTestCluster({ nodeCount: 2 });
        await cluster.start();
    });

    afterAll(async () => {
        await cluster.stop();
    });

    const run = async (...args: string[]): Promise<CliRun> => {
        const out: string[] = [];
        const errors: string[] = [];
        const exitCode = await runCli(["node", "sequoiagrade", ...args], {
            print: text => out.push(text),
            printError: text => errors.push(text),
        });
        return { exitCode, out: out.join("\n"), errors: errors.join("\n") };
    };

    const runOnNode = (...args: string[]): Promise<CliRun> =>
        run(...args, "--entry", cluster.nodes[0].callersUrl, "--token", cluster.operatorToken);

    const writeDeclaration = (name: string, wholeMs: number): string => {
        const declaration = cluster.createDeclaration();
        (declaration.classes[0] as { latency: { wholeMs: number; }; }).latency.wholeMs = wholeMs;
        const file = join(folder, name);
        writeFileSync(file, JSON.stringify(declaration));
        return file;
    };

    it("validates, compares, applies and lists configurations", async () => {
        const file = writeDeclaration("changed.json", 21_000);
        expect((await runOnNode("configuration", "diff", "-f", file)).out).toContain(
            "classes[drafting].latency.wholeMs",
        );
        const dry = await runOnNode("configuration", "apply", "-f", file, "--expect", "1", "--dry-run");
        expect(dry).toMatchObject({ exitCode: exitCodes.ok, out: "valid; revision 1 stays in force" });
        const applied = await runOnNode(
            "configuration",
            "apply",
            "-f",
            file,
            "--expect",
            "1",
            "--change-id",
            "c-2",
        );
        expect(applied.exitCode).toBe(exitCodes.ok);
        expect(applied.out).toContain("revision 2 is in force on 2 nodes");
        const again = await runOnNode("configuration", "apply", "-f", file, "--expect", "1");
        expect(again.exitCode).toBe(exitCodes.refused);
        expect(again.errors).toContain("configuration-conflict");
        expect((await runOnNode("configuration", "change", "--change-id", "c-2")).out).toBe("committed 2");
        expect((await runOnNode("configuration", "change", "--change-id", "nope")).out).toBe("not-committed");
        expect((await runOnNode("configuration", "history")).out).toContain("c-2");
        expect((await runOnNode("configuration", "status")).out).toContain("in force on 2 nodes");
        const current = JSON.parse((await runOnNode("configuration", "get", "--json")).out) as {
            revision: number;
        };
        expect(current.revision).toBe(2);
    });

    it("shows status, report and timeline as text and as JSON", async () => {
        const answer = await new TestCaller(testKeys.large).complete(cluster.nodes[1], "hello");
        const requestId = answer.headers.get("request-id")!;
        expect((await runOnNode("status")).out).toContain("vm-llm-0");
        const report = JSON.parse((await runOnNode("report", "--json")).out) as {
            nodes: { balance: { accepted: number; }; }[];
        };
        expect(report.nodes.reduce((sum, node) => sum + node.balance.accepted, 0)).toBe(1);
        expect((await runOnNode("report")).out).toContain("drafting");
        const timeline = (await runOnNode("timeline", "--request", requestId)).out;
        expect(timeline).toContain("2101 request-accepted");
        expect(timeline).toContain("2102 request-answered");
        const events = (JSON.parse((await runOnNode("timeline", "--json")).out) as {
            events: { time: { wallMs: number; }; }[];
        }).events;
        const times = events.map(event => event.time.wallMs);
        expect(times).toEqual([...times].sort((a, b) => a - b));
    });

    it("reports overdue requests by work class, in the report and in the metrics", async () => {
        const caller = new TestCaller(testKeys.large);
        const file = writeDeclaration("tight.json", 1);
        const { revision } = JSON.parse((await runOnNode("configuration", "get", "--json")).out) as {
            revision: number;
        };
        await runOnNode("configuration", "apply", "-f", file, "--expect", String(revision));
        const done = caller.stream(cluster.nodes[1], "long", { max_tokens: 400 });
        await cluster.waitUntil(
            async () => (await runOnNode("report")).out.includes("1 OVERDUE"),
            "the report shows one overdue request",
        );
        const metrics = await (await fetch(`${cluster.nodes[1].callersUrl}/metrics`)).text();
        expect(metrics).toContain("sequoiagrade_requests_overdue{class=\"drafting\"} 1");
        await done;
    });

    it.each<[string, string[], number, string]>([
        [
            "a missing file",
            ["check-settings", "/nope.json"],
            exitCodes.usage,
            "file \"/nope.json\" cannot be read",
        ],
        ["an unknown command", ["nope"], exitCodes.usage, "command \"nope\" does not exist"],
        ["an unknown option", ["status", "--wrong"], exitCodes.usage, "--wrong"],
        [
            "an unknown action",
            ["configuration", "nope", "--entry", "x", "--token", "y"],
            exitCodes.usage,
            "nope",
        ],
        [
            "an unreachable node",
            ["status", "--entry", "http://127.0.0.1:1", "--token", "x"],
            exitCodes.unreachable,
            "did not answer",
        ],
        ["a missing entry", ["status"], exitCodes.usage, "--entry"],
    ])("returns the documented exit code for %s", async (_name, args, exitCode, message) => {
        const result = await run(...args);
        expect(result.exitCode).toBe(exitCode);
        expect(result.errors).toContain(message);
    });

    it("refuses a wrong token", async () => {
        const result = await run("status", "--entry", cluster.nodes[0].callersUrl, "--token", "wrong");
        expect(result.exitCode).toBe(exitCodes.refused);
        expect(result.errors).toContain("unauthorized");
    });
});
