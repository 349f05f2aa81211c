import { createServer, type IncomingMessage, type Server } from "node:http";
import { type AddressInfo, Socket } from "node:net";
import { pause } from "../../standins/pause";
import { createRawAnswers, type RawAnswer } from "../../standins/createRawAnswers";
import { RawRunner } from "../../standins/RawRunner";
import { type CutEnding, cutEndings, writeCutAnswer } from "../../standins/writeCutAnswer";
import { SeededRandom } from "../kernel/SeededRandom";
import { SystemClock } from "../kernel/SystemClock";
import { UpstreamClient } from "../upstreams/UpstreamClient";
import type { ExchangeEnd, ExchangeStart } from "../upstreams/UpstreamExchange";
import { computeTunnelProof } from "./computeTunnelProof";
import { frameLengthBytes, lengthFraming, tunnelFramingHeader } from "./constants";
import { openTunnel } from "./openTunnel";
import { TunnelServer } from "./TunnelServer";

// To cut at every byte: CUT_EVERY=1 npx jest src/tunnels/cutAnswers

const cutEvery = Number(process.env.CUT_EVERY ?? 50);
const random = new SeededRandom(Number(process.env.CUT_SEED ?? 41));
const testTimeoutMs = 600_000 / cutEvery;
const timeoutMs = 2_000;
const longBytes = 1_000; // beyond lies the middle of a field that is too long
const closeMs = 5; // until the end of a connection is known on both sides
const clusterKey = "key";
const nodeId = "node-1";
const endings = Object.values(cutEndings);
const answers = createRawAnswers({ fields: ["x-id: 1"], text: "the whole text" });

interface Cut {
    readonly answer: RawAnswer;
    /** Number of bytes written. */
    readonly length: number;
    readonly ending: CutEnding;
    /** Whether all bytes are written. */
    readonly isWhole: boolean;
}

interface Outcome {
    readonly start: ExchangeStart;
    readonly end: ExchangeEnd;
    readonly body: string;
}

/** Lists cuts of an answer: after each of its bytes, or after some of them and the last one. */
const listCuts = (answer: RawAnswer, length = answer.head.length + answer.rest.length): Cut[] =>
    Array.from({ length: length + 1 }, (_unused, cut) => cut)
        .filter(cut => cut === length || cut < longBytes)
        .flatMap(cut => endings.map(ending => ({ answer, length: cut, ending, isWhole: cut === length })))
        .filter(cut => random.drawInt(cutEvery) === 0 || (cut.isWhole && cut.ending !== cutEndings.pause));

const describeCut = ({ answer, length, ending }: Cut): string => `${answer.name}, ${length} bytes, ${ending}`;

const hasHead = ({ answer, length }: Cut): boolean => length >= answer.head.length;

describe("an answer that is cut", () => {
    let members: Server;
    let member: string;
    let answerTunnelRequest: (request: IncomingMessage, socket: Socket) => void;
    let runner: RawRunner;
    let cut: Cut;
    let reusedCount: number;
    let openCount: number;
    const clients: UpstreamClient[] = [];

    beforeEach(async () => {
        const ended = new WeakSet<Socket>();
        [reusedCount, openCount] = [0, 0];
        runner = new RawRunner("runner", (socket, { url }) => {
            reusedCount += Number(ended.has(socket));
            if (url === "/whole") {
                socket.write(answers[0].head + answers[0].rest);
                return;
            }
            ended.add(socket);
            writeCut(socket, encodeBytes);
        });
        await runner.server.start();
        members = createServer();
        members.on(
            "connect",
            (request: IncomingMessage, socket: Socket) => answerTunnelRequest(request, socket),
        );
        await new Promise<void>(resolve => members.listen(0, "127.0.0.1", resolve));
        member = `127.0.0.1:${(members.address() as AddressInfo).port}`;
    });

    afterEach(async () => {
        await Promise.all(clients.splice(0).map(client => client.close()));
        await runner.server.stop();
        await new Promise<void>(resolve => {
            members.close(() => resolve());
            members.closeAllConnections();
        });
    });

    /** Writes the part of an answer that a cut leaves. */
    const writeCut = (socket: Socket, encode: (answer: RawAnswer) => string): void => {
        openCount += 1;
        socket.on("close", () => {
            openCount -= 1;
        });
        writeCutAnswer(socket, encode(cut.answer).slice(0, cut.length), cut.ending);
    };

    /** Creates a client that reaches the upstream directly, or only through the member. */
    const createClient = (way: "direct" | "relayed"): UpstreamClient => {
        const target = runner.address;
        const proof = computeTunnelProof({ clusterKey, nodeId, target });
        const client = new UpstreamClient({
            address: target,
            maxConnections: 1,
            ...(way === "direct" ? {} : {
                connect: (_options, callback) => {
                    setImmediate(() => callback(new Error("cut off"), null));
                    return new Socket();
                },
                detour: {
                    openTunnel: () => openTunnel({ member, target, proof, timeoutMs }),
                    clock: new SystemClock(),
                    onChange: () => {},
                },
            }),
        });
        clients.push(client);
        return client;
    };

    const call = async (client: UpstreamClient, path: string): Promise<Outcome> => {
        const exchange = client.send({ method: "GET", path, headers: ["host", "h"], body: undefined });
        let body = "";
        exchange.listen(chunk => {
            body += chunk.toString("latin1");
        });
        return { start: await exchange.started, end: await exchange.ended, body };
    };

    /** Waits until a cut connection is closed, which one after a whole answer is a little later. */
    const waitForClose = async (): Promise<void> => {
        while (openCount > 0) {
            await pause(1);
        }
        await pause(cut.isWhole ? closeMs : 0);
    };

    /** Makes a call for each cut, on a new connection and on one that has carried another answer. */
    const findFaults = async (
        client: UpstreamClient,
        cuts: readonly Cut[],
        findFault: (outcome: Outcome) => string | undefined,
    ): Promise<string[]> => {
        const faults: string[] = [];
        const check = (path: string, fault: string | undefined): void => {
            if (fault !== undefined) {
                faults.push(`${describeCut(cut)} (${path}): ${fault}`);
            }
        };
        for (cut of cuts) {
            check("new connection", findFault(await call(client, "/cut")));
            await waitForClose();
            const { body } = await call(client, "/whole");
            check("next call", body === answers[0].text ? undefined : "not served");
            check("kept connection", findFault(await call(client, "/cut")));
            await waitForClose();
        }
        return faults;
    };

    /** Finds what is wrong with an outcome. An end of the connection counts as regular only where it can be told. */
    const findWrong = (outcome: Outcome, isEndRegular: boolean): string | undefined => {
        const { answer } = cut;
        const { start, end: { isWhole }, body } = outcome;
        const endsHere = answer.endsWithConnection ? isEndRegular && hasHead(cut) : cut.isWhole;
        if (start.kind === "answered" && !hasHead(cut)) {
            return "answered by a part of a head";
        }
        if (isWhole && !(endsHere && answer.text.startsWith(body))) {
            return `whole with ${JSON.stringify(body)}`;
        }
        if (isWhole && cut.isWhole && body !== answer.text) {
            return `whole with ${JSON.stringify(body)}`;
        }
        if (!answer.text.startsWith(body)) {
            return `foreign bytes ${JSON.stringify(body)}`;
        }
        const isDue = answer.isProper && cut.isWhole && isEndRegular;
        return isDue && !isWhole ? "whole answer not taken" : undefined;
    };

    const startTunnelServer = async (isOld: boolean): Promise<TunnelServer> => {
        const tunnels = new TunnelServer({
            nodeId,
            network: {
                onTunnelRequest: listener => {
                    answerTunnelRequest = (request, socket) => {
                        if (isOld) {
                            delete request.headers[tunnelFramingHeader];
                        }
                        listener(request, socket);
                    };
                },
            },
            readClusterKey: () => clusterKey,
            clock: new SystemClock(),
            isUpstream: () => true,
            isAccepting: () => true,
        });
        await tunnels.start();
        return tunnels;
    };

    const olderVersion = "relayed by an older version"; // only the end of its connection differs
    const cases = [
        ...["direct", "relayed"].flatMap(way => answers.map(answer => [way, answer.name, answer] as const)),
        ...answers.filter(answer => answer.endsWithConnection || answer === answers[0])
            .map(answer => [olderVersion, answer.name, answer] as const),
    ];

    // Guards against heads that end early and are taken for answers with an empty or short body.
    it.each(cases)(
        "by its upstream is never taken for whole: %s, %s",
        async (way, _name, answer) => {
            const isOld = way === olderVersion;
            const tunnels = await startTunnelServer(isOld);
            const client = createClient(way === "direct" ? "direct" : "relayed");
            const faults = await findFaults(client, listCuts(answer), outcome => {
                const isEndTold = cut.ending !== cutEndings.reset
                    && !(isOld && answer.endsWithConnection);
                return findWrong(outcome, isEndTold);
            });
            await tunnels.stop();
            expect([faults, reusedCount]).toEqual([[], 0]);
        },
        testTimeoutMs,
    );

    /** Lets the member answer every tunnel by itself, with the bytes of a cut. */
    const startMember = (isFramed: boolean, encode: (answer: RawAnswer) => string): void => {
        answerTunnelRequest = (_request, socket) => {
            const framing = isFramed ? `${tunnelFramingHeader}: ${lengthFraming}\r\n` : "";
            socket.on("error", () => {});
            socket.write(`HTTP/1.1 200 Connection Established\r\n${framing}\r\n`);
            socket.once("data", (data: Buffer) => {
                if (String(data).includes("/whole")) {
                    socket.write(encode(answers[0]), "latin1");
                    socket.once("data", () => writeCut(socket, encode));
                    return;
                }
                writeCut(socket, encode);
            });
        };
    };

    // Guards against the end of a member taken for the end of the answer that it passes on.
    it.each(answers.map(answer => [answer.name, answer] as const))(
        "by the member that passes it on is never taken for whole: %s",
        async (_name, answer) => {
            const cuts = listCuts(answer, encodeFrames(answer).length);
            startMember(true, encodeFrames);
            const framed = await findFaults(createClient("relayed"), cuts, ({ end, body }) => {
                const isWhole = body === answer.text && !answer.endsWithConnection
                    || cut.length === encodeFrames(answer).length;
                return end.isWhole && !isWhole ? `whole with ${JSON.stringify(body)}` : undefined;
            });
            startMember(false, encodeBytes);
            const unframed = await findFaults(
                createClient("relayed"),
                listCuts(answer),
                ({ end, body }) =>
                    end.isWhole && (body !== answer.text || answer.endsWithConnection)
                        ? `whole with ${JSON.stringify(body)}`
                        : undefined,
            );
            expect([framed, unframed]).toEqual([[], []]);
        },
        testTimeoutMs,
    );
});

const frameBytes = 7;

const encodeBytes = ({ head, rest }: RawAnswer): string => head + rest;

/** Encodes an answer as a member does that reads a few bytes at a time: frames, and the one that marks the end. */
const encodeFrames = (answer: RawAnswer): string => {
    const bytes = encodeBytes(answer);
    const frameSize = bytes.length > 1_000 ? bytes.length : frameBytes;
    const frames: string[] = [];
    for (let start = 0; start < bytes.length; start += frameSize) {
        frames.push(encodeFrame(bytes.slice(start, start + frameSize)));
    }
    const end = answer.endsWithConnection ? encodeFrame("") : "";
    return frames.join("") + end;
};

const encodeFrame = (bytes: string): string => {
    const length = Buffer.alloc(frameLengthBytes);
    length.writeUInt32BE(bytes.length);
    return length.toString("latin1") + bytes;
};
