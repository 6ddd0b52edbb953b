package sycamorehill.load;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/**
 * Plots a report: times to the first token and between tokens over their percentiles.
 */
public final class LoadChart {

	private static final int WIDTH = 900;

	private static final int HEIGHT = 500;

	private LoadChart() {
	}

	/**
	 * Writes the plot.
	 * @param report the report
	 * @param file where to write a PNG picture
	 * @throws IOException if the file can't be written
	 */
	public static void write(LoadReport report, Path file) throws IOException {
		XYChart chart = new XYChartBuilder().width(WIDTH)
			.height(HEIGHT)
			.title("Times by percentile")
			.xAxisTitle("percentile")
			.yAxisTitle("milliseconds")
			.build();
		add(chart, "first token", report.firstToken().curve());
		add(chart, "between tokens", report.tokenGap().curve());
		BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
	}

	private static void add(XYChart chart, String name, List<Latencies.Point> curve) {
		double[] percentiles = curve.stream().mapToDouble(Latencies.Point::percentile).toArray();
		double[] times = curve.stream().mapToDouble(Latencies.Point::milliseconds).toArray();
		chart.addSeries(name, percentiles, times);
	}

}
