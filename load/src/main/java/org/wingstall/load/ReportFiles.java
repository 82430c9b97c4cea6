package org.wingstall.load;

import java.awt.image.BufferedImage;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.List;
import java.util.function.Function;
import javax.imageio.ImageIO;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.load.LoadReport;
import org.wingstall.schema.load.Scenario;

/** Writes reports as JSON and as one HTML page with its plots inside. */
final class ReportFiles {
    private static final int WIDTH_PX = 800;
    private static final int HEIGHT_PX = 360;

    private ReportFiles() {}

    static void write(Path folder, Scenario scenario, List<LoadReport> reports, Comparison comparison)
            throws IOException {
        Files.createDirectories(folder);
        Files.write(folder.resolve("report.json"), Json.write(reports));
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        comparison.print(new PrintStream(text, true, StandardCharsets.UTF_8));
        String page = "<!doctype html><meta charset=utf-8><title>" + scenario.getName() + "</title><h1>"
                + scenario.getName() + "</h1><pre>" + escape(text.toString(StandardCharsets.UTF_8)) + "</pre>"
                + plot(comparison, "Attainment by run", "share", comparison::attainments)
                + plot(comparison, "95th percentile by run", "ms", comparison::p95Ms);
        Files.writeString(folder.resolve("report.html"), page);
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;");
    }

    private static String plot(
            Comparison comparison, String title, String unit, Function<String, List<Double>> valuesOf)
            throws IOException {
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH_PX)
                .height(HEIGHT_PX)
                .title(title)
                .xAxisTitle("run")
                .yAxisTitle(unit)
                .build();
        for (String policy : comparison.policies()) {
            List<Double> values = valuesOf.apply(policy);
            List<Integer> runs = java.util.stream.IntStream.rangeClosed(1, values.size())
                    .boxed()
                    .toList();
            chart.addSeries(policy, runs, values);
        }
        BufferedImage image = BitmapEncoder.getBufferedImage(chart);
        ByteArrayOutputStream png = new ByteArrayOutputStream();
        ImageIO.write(image, "png", png);
        return "<img alt=\"" + title + "\" src=\"data:image/png;base64,"
                + Base64.getEncoder().encodeToString(png.toByteArray()) + "\">";
    }
}
